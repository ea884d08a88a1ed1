package org.jacinthwharf.process.settings;

/**
 * One fault in a settings file.
 *
 * <p>Immutable.
 *
 * @param file the file as named by the user
 * @param path JSON path of the value, such as {@code /listen/http}
 * @param value the offending value, or empty if it is missing
 * @param expected what is allowed there
 */
public record SettingsProblem(String file, String path, String value, String expected) {
    @Override
    public String toString() {
        String shown = value.isEmpty() ? "no value" : value;
        return file + ": " + (path.isEmpty() ? "/" : path) + ": " + shown + ": " + expected;
    }
}
