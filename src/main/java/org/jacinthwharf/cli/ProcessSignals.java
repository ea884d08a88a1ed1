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
 * Keeps a process running until SIGTERM, and reads its settings again on SIGHUP or when the file
 * changes.
 *
 * <p>Thread-safe. Invariant: settings that cannot be read change nothing and are logged.
 */
public final class ProcessSignals {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration FILE_CHECK = Duration.ofSeconds(2);

    private final Path mFile;
    private final Consumer<NodeSettings> mOnSettings;
    private FileTime mModified;

    private ProcessSignals(Path file, Consumer<NodeSettings> onSettings) {
        mFile = file;
        mOnSettings = onSettings;
        mModified = modified();
    }

    /**
     * Waits for SIGTERM, then runs {@code stop} to its end before the process ends.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public static void run(
            Path file, EventLoop loop, Consumer<NodeSettings> onSettings, Runnable stop)
            throws InterruptedException {
        ProcessSignals signals = new ProcessSignals(file, onSettings);
        // The JVM ends on SIGHUP unless someone handles it.
        Signal.handle(new Signal("HUP"), s -> loop.execute(signals::reload));
        loop.scheduleRepeatedly(FILE_CHECK, signals::reloadIfChanged);
        UntilStopped.waitAndRun(
                () -> {
                    stop.run();
                    LogOutput.flushInstalled();
                });
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(mFile);
        } catch (IOException e) {
            LOGGER.atWarning().log("event=settings_unreadable file=%s cause='%s'", mFile, e);
            return mModified;
        }
    }

    private void reloadIfChanged() {
        FileTime now = modified();
        if (now != null && !now.equals(mModified)) {
            reload();
        }
    }

    private void reload() {
        mModified = modified();
        SettingsResult<NodeSettings> result = new NodeSettingsReader().read(mFile);
        if (result instanceof SettingsResult.Valid<NodeSettings> v) {
            mOnSettings.accept(v.settings());
        } else if (result instanceof SettingsResult.Invalid<NodeSettings> i) {
            i.problems()
                    .forEach(p -> LOGGER.atWarning().log("event=settings_kept problem='%s'", p));
        }
    }
}
