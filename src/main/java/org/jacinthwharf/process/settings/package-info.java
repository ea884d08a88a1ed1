/**
 * Settings of the processes, read from JSON and validated against a schema; start reading at {@code
 * SettingsReader}.
 */
package org.jacinthwharf.process.settings;
