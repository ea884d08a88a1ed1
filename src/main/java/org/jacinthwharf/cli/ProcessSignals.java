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
 * <p>Thread-safe. Invariants: invalid settings are logged and the current ones stay in force; a
 * change of the file after {@link #watch} is noticed, also during the start of the process.
 */
public final class ProcessSignals {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration FILE_CHECK_INTERVAL = Duration.ofSeconds(2);

    private final Path mFile;
    private final ReloadSignal mReloadSignal;
    private FileTime mLastModified;

    private ProcessSignals(Path file, ReloadSignal reloadSignal) {
        mFile = file;
        mReloadSignal = reloadSignal;
        mLastModified = readLastModified();
    }

    /**
     * Watches the settings file from now on; to be called before the settings are read.
     *
     * @param reloadSignal signals since the begin of the process
     */
    public static ProcessSignals watch(Path file, ReloadSignal reloadSignal) {
        return new ProcessSignals(file, reloadSignal);
    }

    /**
     * Starts a process and blocks until SIGTERM, then stops it; the JVM exits when that returns.
     *
     * @throws IOException if the process cannot start
     * @throws InterruptedException if the calling thread is interrupted
     */
    public void run(
            EventLoop loop, StartStep start, Consumer<NodeSettings> onSettings, Runnable stop)
            throws IOException, InterruptedException {
        ShutdownSignal.startAndAwait(
                () -> {
                    start.run();
                    mReloadSignal.setReload(() -> loop.execute(() -> reload(onSettings)));
                    loop.scheduleRepeatedly(FILE_CHECK_INTERVAL, () -> reloadIfChanged(onSettings));
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

    private void reloadIfChanged(Consumer<NodeSettings> onSettings) {
        FileTime now = readLastModified();
        if (now != null && !now.equals(mLastModified)) {
            reload(onSettings);
        }
    }

    private void reload(Consumer<NodeSettings> onSettings) {
        mLastModified = readLastModified();
        SettingsResult<NodeSettings> result = new NodeSettingsReader().read(mFile);
        if (result instanceof SettingsResult.Valid<NodeSettings> v) {
            onSettings.accept(v.settings());
        } else if (result instanceof SettingsResult.Invalid<NodeSettings> i) {
            i.problems()
                    .forEach(p -> LOGGER.atWarning().log("event=settings_kept problem='%s'", p));
        }
    }
}
