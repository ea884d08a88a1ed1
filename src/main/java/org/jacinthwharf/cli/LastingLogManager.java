package org.jacinthwharf.cli;

import java.util.logging.LogManager;

/**
 * A log manager that goes on writing while the process stops.
 *
 * <p>The default one removes all handlers in a shutdown hook, which runs beside the hook that stops
 * the process, so the events of a planned stop were lost. Thread-safe, as its base class is.
 */
public final class LastingLogManager extends LogManager {
    /** Creates the manager; called by the logging library, which reads the class name. */
    public LastingLogManager() {}

    /** Does nothing, since the handlers are needed until the process ends. */
    @Override
    public void reset() {}
}
