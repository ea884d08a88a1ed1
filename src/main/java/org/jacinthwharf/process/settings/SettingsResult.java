package org.jacinthwharf.process.settings;

import com.google.common.collect.ImmutableList;

/**
 * The result of parsing and validating settings or answers. Immutable.
 *
 * @param <T> type of the parsed input
 */
public sealed interface SettingsResult<T> {
    /** The input is valid. */
    record Valid<T>(T settings) implements SettingsResult<T> {}

    /** The input is invalid; has at least one problem. */
    record Invalid<T>(ImmutableList<SettingsProblem> problems) implements SettingsResult<T> {}
}
