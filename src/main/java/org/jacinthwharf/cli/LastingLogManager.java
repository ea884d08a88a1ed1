package org.jacinthwharf.cli;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during shutdown.
 *
 * <p>The default manager removes all handlers in a shutdown hook. That hook runs concurrently with
 * the one that stops the process, so the events of a planned stop were lost. Thread-safe, as its
 * base class is.
 */
public final class LastingLogManager extends LogManager {
    /** Creates the manager; called reflectively by the logging library. */
    public LastingLogManager() {}

    /** Does nothing, because the handlers are needed until the process exits. */
    @Override
    public void reset() {}
}
