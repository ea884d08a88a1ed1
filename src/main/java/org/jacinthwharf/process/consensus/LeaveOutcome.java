package org.jacinthwharf.process.consensus;

/** How the planned departure of a member ended. */
public enum LeaveOutcome {
    /** The members no longer include this one. */
    LEFT,
    /** This member stays a voter, because the group would become too small without it. */
    STAYS,
    /** No leader removed this member in time; it stays a voter until its silence is noticed. */
    TIMED_OUT
}
