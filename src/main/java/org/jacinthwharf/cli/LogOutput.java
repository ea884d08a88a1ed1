package org.jacinthwharf.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records to standard output from a dedicated thread.
 *
 * <p>Thread-safe. Invariants: logging never blocks on the output; the queue is bounded, and the
 * number of records dropped because it was full is logged.
 */
public final class LogOutput extends Handler {
    /** Less than a megabyte at 200 bytes a line. */
    private static final int QUEUE_CAPACITY = 4_096;

    /** Records published within this interval share one write. */
    private static final long BATCH_INTERVAL_MILLIS = 50;

    private static LogOutput sInstalled;

    private final ArrayBlockingQueue<LogRecord> mQueue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong mDropped = new AtomicLong();
    private final FileOutputStream mOut = new FileOutputStream(FileDescriptor.out);

    private LogOutput() {}

    /** Routes all logs of the process here; must be called before the first logger is created. */
    public static void install() {
        System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        root.setLevel(Level.INFO);
        sInstalled = new LogOutput();
        root.addHandler(sInstalled);
        Thread writer = new Thread(sInstalled::runWriter, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Writes the queued records; must be called at the end of the process. */
    public static void flushInstalled() {
        if (sInstalled != null) {
            sInstalled.flush();
        }
    }

    @Override
    public void publish(LogRecord record) {
        if (!mQueue.offer(record)) {
            mDropped.incrementAndGet();
        }
    }

    private void runWriter() {
        try {
            while (true) {
                LogRecord first = mQueue.take();
                writeBatch(first);
                TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void writeBatch(LogRecord first) {
        List<LogRecord> records = new ArrayList<>();
        records.add(first);
        mQueue.drainTo(records);
        StringBuilder text = new StringBuilder();
        records.forEach(r -> append(text, r));
        long dropped = mDropped.getAndSet(0);
        if (dropped > 0) {
            text.append("event=log_lines_dropped count=").append(dropped).append('\n');
        }
        try {
            mOut.write(text.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // The failure itself cannot be logged; the next successful write reports the count.
            mDropped.addAndGet(records.size());
        }
    }

    private static void append(StringBuilder text, LogRecord r) {
        text.append(Instant.ofEpochMilli(r.getMillis()).truncatedTo(ChronoUnit.MILLIS))
                .append(' ')
                .append(r.getLevel().getName())
                .append(' ')
                .append(r.getMessage())
                .append('\n');
        if (r.getThrown() != null) {
            StringWriter trace = new StringWriter();
            r.getThrown().printStackTrace(new PrintWriter(trace));
            text.append(trace);
        }
    }

    @Override
    public void flush() {
        LogRecord first = mQueue.poll();
        if (first != null) {
            writeBatch(first);
        }
    }

    @Override
    public void close() {
        flush();
    }
}
