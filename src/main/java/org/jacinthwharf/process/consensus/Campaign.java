package org.jacinthwharf.process.consensus;

/** The ways in which a candidate asks for votes. */
enum Campaign {
    /** Asks whether an election would succeed, without a new term. */
    PRE_VOTE,
    /** Asks for votes after a successful pre-vote. */
    VOTE,
    /** Asks for votes at the request of the leader, which is about to end. */
    TRANSFER
}
