package org.jacinthwharf.cli;

import java.util.concurrent.atomic.AtomicReference;
import sun.misc.Signal;

/**
 * Takes SIGHUP from the first moment of a process on; one that arrives before the process can
 * reload its settings is kept until then.
 *
 * <p>Thread-safe. Has no logger, since it is installed before the logging.
 */
public final class ReloadSignal {
    private static final Runnable NOT_READY = () -> {};
    private static final Runnable PENDING = () -> {};

    private final AtomicReference<Runnable> mReload = new AtomicReference<>(NOT_READY);

    private ReloadSignal() {}

    /** Replaces the default handler, which terminates the JVM. */
    public static ReloadSignal install() {
        ReloadSignal signal = new ReloadSignal();
        Signal.handle(new Signal("HUP"), s -> signal.onSignal());
        return signal;
    }

    private void onSignal() {
        mReload.compareAndSet(NOT_READY, PENDING);
        mReload.get().run();
    }

    /** Sets what reloads the settings, and runs it if a signal has arrived already. */
    void setReload(Runnable reload) {
        if (mReload.getAndSet(reload) == PENDING) {
            reload.run();
        }
    }
}
