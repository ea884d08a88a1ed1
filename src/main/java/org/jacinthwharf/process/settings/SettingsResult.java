package org.jacinthwharf.process.settings;

import com.google.common.collect.ImmutableList;

/**
 * The result of reading a settings file. Immutable.
 *
 * @param <T> type of the settings
 */
public sealed interface SettingsResult<T> {
    /** The file is valid. */
    record Valid<T>(T settings) implements SettingsResult<T> {}

    /** The file is invalid and the process must not start; has at least one problem. */
    record Invalid<T>(ImmutableList<SettingsProblem> problems) implements SettingsResult<T> {}
}
