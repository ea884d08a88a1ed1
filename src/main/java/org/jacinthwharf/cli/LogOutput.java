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
 * Writes log lines to standard output from a thread of its own.
 *
 * <p>Thread-safe. Invariants: logging never waits for the output; the queue is bounded, and lines
 * that did not fit are counted in a line of their own.
 */
public final class LogOutput extends Handler {
    /** At 200 bytes a line less than a megabyte. */
    private static final int QUEUE_LINES = 4_096;

    /** Lines of this time share one write. */
    private static final long BATCH_MILLIS = 50;

    private static LogOutput sInstalled;

    private final ArrayBlockingQueue<LogRecord> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong mDropped = new AtomicLong();
    private final FileOutputStream mOut = new FileOutputStream(FileDescriptor.out);

    private LogOutput() {}

    /** Sends all logs of the process here; to be called before the first logger is made. */
    public static void install() {
        System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        root.setLevel(Level.INFO);
        sInstalled = new LogOutput();
        root.addHandler(sInstalled);
        Thread writer = new Thread(sInstalled::writeForever, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Writes what waits; to be called at the end of the process. */
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

    private void writeForever() {
        try {
            while (true) {
                LogRecord first = mQueue.take();
                write(first);
                TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void write(LogRecord first) {
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
            // Nobody is left to tell; the count shows in the next line that can be written.
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
            write(first);
        }
    }

    @Override
    public void close() {
        flush();
    }
}
