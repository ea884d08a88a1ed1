package org.jacinthwharf.process.settings;

/**
 * A problem in settings or answers.
 *
 * <p>Immutable.
 *
 * @param file name of the file as given by the user, or of another source
 * @param path JSON path of the value, such as {@code /listen/http}
 * @param value the invalid value; empty if it is missing
 * @param expected description of the allowed values, or why the file cannot be read
 */
public record SettingsProblem(String file, String path, String value, String expected) {
    @Override
    public String toString() {
        String shown = value.isEmpty() ? "no value" : value;
        return file + ": " + (path.isEmpty() ? "/" : path) + ": " + shown + ": " + expected;
    }
}
