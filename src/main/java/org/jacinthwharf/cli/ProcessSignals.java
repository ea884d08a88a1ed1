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
     * Starts a process and blocks until SIGTERM, then stops it; the JVM exits when that returns.
     *
     * @param reloadSignal signals since the begin of the process
     * @throws IOException if the process cannot start
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static void run(
            Path file,
            EventLoop loop,
            ReloadSignal reloadSignal,
            StartStep start,
            Consumer<NodeSettings> onSettings,
            Runnable stop)
            throws IOException, InterruptedException {
        ShutdownSignal.startAndAwait(
                () -> {
                    start.run();
                    ProcessSignals signals = new ProcessSignals(file, onSettings);
                    reloadSignal.setReload(() -> loop.execute(signals::reload));
                    loop.scheduleRepeatedly(FILE_CHECK_INTERVAL, signals::reloadIfChanged);
                    return () -> {
                        stop.run();
                        LogOutput.flushInstalled();
                    };
                });
    }

    /** Opens the ports of a process and starts serving. */
    public interface StartStep {
        /**
         * Runs the step.
         *
         * @throws IOException if a port cannot be opened
         */
        void run() throws IOException;
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
