/**
 * Settings of the processes, read from JSON and validated against a schema. {@code SettingsReader}
 * is the entry point.
 */
package org.jacinthwharf.process.settings;
