package org.jacinthwharf.process.consensus;

import java.io.IOException;
import java.util.Optional;

/**
 * The files of one member in a flat folder.
 *
 * <p>Not thread-safe; used by one thread at a time. Unsynced changes may be lost, in whole or in
 * part, when the process or the machine stops.
 */
interface DataFolder extends AutoCloseable {
    /** Returns the content of a file, or empty if it does not exist. */
    Optional<byte[]> read(String name) throws IOException;

    /** Creates a file or replaces its content. */
    void write(String name, byte[] content) throws IOException;

    /** Appends bytes to an existing file. */
    void append(String name, byte[] bytes) throws IOException;

    /** Truncates a file to {@code length} bytes. */
    void truncate(String name, long length) throws IOException;

    /** Makes the content of a file durable. */
    void sync(String name) throws IOException;

    /** Renames a file and replaces an existing file of the new name. */
    void rename(String from, String to) throws IOException;

    /** Makes the creation and renaming of files durable. */
    void syncFolder() throws IOException;

    @Override
    void close() throws IOException;
}
