package org.jacinthwharf.cli;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.function.Consumer;
import org.jacinthwharf.process.loop.EventLoop;
import org.jacinthwharf.process.settings.NodeSettings;
import org.jacinthwharf.process.settings.NodeSettingsReader;
import org.jacinthwharf.process.settings.SettingsResult;
import sun.misc.Signal;

/**
 * Keeps a process running until SIGTERM, and reloads its settings on SIGHUP or when the file
 * changes.
 *
 * <p>Thread-safe. Invariant: invalid settings are logged and the current ones stay in force.
 */
public final class ProcessSignals {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration FILE_CHECK_INTERVAL = Duration.ofSeconds(2);

    private final Path mFile;
    private final Consumer<NodeSettings> mOnSettings;
    private FileTime mLastModified;

    private ProcessSignals(Path file, Consumer<NodeSettings> onSettings) {
        mFile = file;
        mOnSettings = onSettings;
        mLastModified = readLastModified();
    }

    /**
     * Blocks until SIGTERM, then runs {@code stop}; the process exits when it returns.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static void run(
            Path file, EventLoop loop, Consumer<NodeSettings> onSettings, Runnable stop)
            throws InterruptedException {
        ProcessSignals signals = new ProcessSignals(file, onSettings);
        // Without a handler, SIGHUP terminates the JVM.
        Signal.handle(new Signal("HUP"), s -> loop.execute(signals::reload));
        loop.scheduleRepeatedly(FILE_CHECK_INTERVAL, signals::reloadIfChanged);
        ShutdownSignal.awaitThenRun(
                () -> {
                    stop.run();
                    LogOutput.flushInstalled();
                });
    }

    private FileTime readLastModified() {
        try {
            return Files.getLastModifiedTime(mFile);
        } catch (IOException e) {
            LOGGER.atWarning().log("event=settings_unreadable file=%s cause='%s'", mFile, e);
            return mLastModified;
        }
    }

    private void reloadIfChanged() {
        FileTime now = readLastModified();
        if (now != null && !now.equals(mLastModified)) {
            reload();
        }
    }

    private void reload() {
        mLastModified = readLastModified();
        SettingsResult<NodeSettings> result = new NodeSettingsReader().read(mFile);
        if (result instanceof SettingsResult.Valid<NodeSettings> v) {
            mOnSettings.accept(v.settings());
        } else if (result instanceof SettingsResult.Invalid<NodeSettings> i) {
            i.problems()
                    .forEach(p -> LOGGER.atWarning().log("event=settings_kept problem='%s'", p));
        }
    }
}
