package org.jacinthwharf.process.settings;

import com.google.common.collect.ImmutableList;

/**
 * What came of reading a settings file. Immutable.
 *
 * @param <T> type of the settings
 */
public sealed interface SettingsResult<T> {
    /** The file is valid. */
    record Valid<T>(T settings) implements SettingsResult<T> {}

    /** The file is not valid; the process must not start. Never empty. */
    record Invalid<T>(ImmutableList<SettingsProblem> problems) implements SettingsResult<T> {}
}
