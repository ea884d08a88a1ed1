package org.jacinthwharf.process.consensus;

import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.TRUNCATE_EXISTING;
import static java.nio.file.StandardOpenOption.WRITE;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A folder of the file system, locked by one process.
 *
 * <p>Not thread-safe. Invariant: the lock on the file {@code lock} is held from {@link #open} to
 * {@link #close}, so that no two processes write the files of one member.
 */
final class FileDataFolder implements DataFolder {
    private static final String LOCK = "lock";

    private final Path mFolder;
    private final FileChannel mLock;
    private final Map<String, FileChannel> mOpen = new HashMap<>();

    private FileDataFolder(Path folder, FileChannel lock) {
        mFolder = folder;
        mLock = lock;
    }

    /**
     * Creates the folder if needed and locks it.
     *
     * @return the folder, or empty if another process or another open instance holds the lock
     */
    static Optional<FileDataFolder> open(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lock = FileChannel.open(folder.resolve(LOCK), CREATE, WRITE);
        try {
            if (lock.tryLock() != null) {
                return Optional.of(new FileDataFolder(folder, lock));
            }
        } catch (OverlappingFileLockException ignored) {
            // This process holds the lock; handled like another process below.
        }
        lock.close();
        return Optional.empty();
    }

    @Override
    public Optional<byte[]> read(String name) throws IOException {
        try {
            return Optional.of(Files.readAllBytes(mFolder.resolve(name)));
        } catch (NoSuchFileException ignored) {
            return Optional.empty();
        }
    }

    @Override
    public void write(String name, byte[] content) throws IOException {
        release(name);
        FileChannel c = FileChannel.open(mFolder.resolve(name), CREATE, TRUNCATE_EXISTING, WRITE);
        mOpen.put(name, c);
        writeFully(c, content);
    }

    @Override
    public void append(String name, byte[] bytes) throws IOException {
        FileChannel c = channel(name);
        c.position(c.size());
        writeFully(c, bytes);
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        channel(name).truncate(length);
    }

    @Override
    public void sync(String name) throws IOException {
        channel(name).force(true);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        release(from);
        release(to);
        Files.move(
                mFolder.resolve(from),
                mFolder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void syncFolder() throws IOException {
        try (FileChannel c = FileChannel.open(mFolder, READ)) {
            c.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        for (FileChannel c : mOpen.values()) {
            c.close();
        }
        mOpen.clear();
        mLock.close();
    }

    private FileChannel channel(String name) throws IOException {
        FileChannel c = mOpen.get(name);
        if (c == null) {
            c = FileChannel.open(mFolder.resolve(name), WRITE);
            mOpen.put(name, c);
        }
        return c;
    }

    private void release(String name) throws IOException {
        FileChannel c = mOpen.remove(name);
        if (c != null) {
            c.close();
        }
    }

    private static void writeFully(FileChannel c, byte[] bytes) throws IOException {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        while (b.hasRemaining()) {
            c.write(b);
        }
    }
}
