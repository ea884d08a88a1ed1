package org.jacinthwharf.process.settings;

/**
 * A problem in a settings file.
 *
 * <p>Immutable.
 *
 * @param file the file name as given by the user
 * @param path JSON path of the value, such as {@code /listen/http}
 * @param value the invalid value; empty if it is missing
 * @param expected description of the allowed values
 */
public record SettingsProblem(String file, String path, String value, String expected) {
    @Override
    public String toString() {
        String shown = value.isEmpty() ? "no value" : value;
        return file + ": " + (path.isEmpty() ? "/" : path) + ": " + shown + ": " + expected;
    }
}
