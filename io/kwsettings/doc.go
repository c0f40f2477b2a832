// Package kwsettings decodes and checks the settings file of one process.
package kwsettings
