package org.jacinthwharf.process.consensus;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * A folder in memory that stops the process at a chosen step and loses what was not synced.
 *
 * <p>Not thread-safe. Every operation is a step; an append or write that is stopped leaves a part
 * of its bytes.
 */
final class CrashingFolder implements DataFolder {
    private final RandomGenerator mRandom;
    private Map<String, Content> mFiles = new HashMap<>();
    private Map<String, Content> mDurableFiles = new HashMap<>();
    private boolean mIgnoresSyncs;
    private int mStepsLeft = Integer.MAX_VALUE;

    /** Thrown at the chosen step, in place of the end of the process. */
    static final class StoppedException extends RuntimeException {}

    private static final class Content {
        byte[] mBytes = new byte[0];
        byte[] mDurable = new byte[0];
    }

    CrashingFolder(RandomGenerator random) {
        mRandom = random;
    }

    /** Stops the process at the step after {@code steps} more steps. */
    void stopAfter(int steps) {
        mStepsLeft = steps;
    }

    int stepsLeft() {
        return mStepsLeft;
    }

    /** Loses unsynced renames and a random part of unsynced bytes, as a loss of power does. */
    void losePower() {
        mStepsLeft = Integer.MAX_VALUE;
        mFiles = new HashMap<>(mDurableFiles);
        for (Content c : mFiles.values()) {
            int common = Math.min(c.mDurable.length, c.mBytes.length);
            boolean appended =
                    c.mBytes.length >= c.mDurable.length
                            && Arrays.equals(c.mBytes, 0, common, c.mDurable, 0, common);
            int kept = c.mBytes.length - common;
            c.mBytes =
                    appended && kept > 0
                            ? Arrays.copyOf(c.mBytes, common + mRandom.nextInt(kept + 1))
                            : c.mDurable;
            c.mDurable = c.mBytes;
        }
    }

    byte[] bytes(String name) {
        return mFiles.get(name).mBytes;
    }

    void damage(String name, int at) {
        mFiles.get(name).mBytes[at] ^= 0x40;
    }

    @Override
    public Optional<byte[]> read(String name) {
        return Optional.ofNullable(mFiles.get(name)).map(c -> c.mBytes.clone());
    }

    @Override
    public void write(String name, byte[] content) {
        Content c = new Content();
        mFiles.put(name, c);
        append(name, content);
    }

    @Override
    public void append(String name, byte[] bytes) {
        Content c = mFiles.get(name);
        boolean stopped = mStepsLeft == 0;
        int count = stopped ? mRandom.nextInt(bytes.length + 1) : bytes.length;
        int at = c.mBytes.length;
        c.mBytes = Arrays.copyOf(c.mBytes, at + count);
        System.arraycopy(bytes, 0, c.mBytes, at, count);
        step();
    }

    @Override
    public void truncate(String name, long length) {
        step();
        Content c = mFiles.get(name);
        c.mBytes = Arrays.copyOf(c.mBytes, (int) length);
    }

    /** Makes the disk report syncs that it does not carry out. */
    void ignoreSyncs() {
        mIgnoresSyncs = true;
    }

    @Override
    public void sync(String name) {
        step();
        if (mIgnoresSyncs) {
            return;
        }
        Content c = mFiles.get(name);
        c.mDurable = c.mBytes.clone();
    }

    @Override
    public void rename(String from, String to) {
        step();
        mFiles.put(to, mFiles.remove(from));
        if (mRandom.nextBoolean()) {
            // The file system may make a rename durable before it is asked to.
            mDurableFiles = new HashMap<>(mFiles);
        }
    }

    @Override
    public void syncFolder() {
        step();
        mDurableFiles = new HashMap<>(mFiles);
    }

    @Override
    public void close() {}

    private void step() {
        if (mStepsLeft-- == 0) {
            mStepsLeft = 0;
            throw new StoppedException();
        }
    }
}
