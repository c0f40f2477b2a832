// Package kwsettings decodes and checks the settings file of one process of a fleet with agents.
package kwsettings
