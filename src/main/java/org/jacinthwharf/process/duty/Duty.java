package org.jacinthwharf.process.duty;

/**
 * A kind of outside call that only the holder of the duty makes.
 *
 * <p>The names are part of the replicated state and must not change.
 */
public enum Duty {
    /** Reports how many requests of each customer backend servers began. */
    USAGE_REPORT,
    /** Orders the number of servers of a service in a failure domain. */
    SERVER_SCALING
}
