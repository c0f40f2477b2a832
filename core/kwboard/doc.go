// Package kwboard is the blackboard of a control process: typed tables that controllers read and write.
package kwboard
