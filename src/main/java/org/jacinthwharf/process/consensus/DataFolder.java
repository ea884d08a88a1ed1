package org.jacinthwharf.process.consensus;

import java.io.IOException;
import java.util.Optional;

/**
 * The files of one member, each named by a plain name.
 *
 * <p>Not thread-safe; used by one thread at a time. What was not synced may be lost, in whole or in
 * part, when the process or the machine stops.
 */
interface DataFolder extends AutoCloseable {
    /** Returns the content of a file, or empty if it does not exist. */
    Optional<byte[]> read(String name) throws IOException;

    /** Creates a file or replaces its content. */
    void write(String name, byte[] content) throws IOException;

    /** Adds bytes at the end of an existing file. */
    void append(String name, byte[] bytes) throws IOException;

    /** Cuts a file to {@code length} bytes. */
    void truncate(String name, long length) throws IOException;

    /** Makes the content of a file durable. */
    void sync(String name) throws IOException;

    /** Gives a file the name of another, which it replaces. */
    void rename(String from, String to) throws IOException;

    /** Makes the creation and renaming of files durable. */
    void syncFolder() throws IOException;

    @Override
    void close() throws IOException;
}
