package org.jacinthwharf.process.consensus;

import com.google.protobuf.ByteString;

/**
 * The replicated state.
 *
 * <p>Called on the event loop only. Implementations are deterministic: the same commands give the
 * same state and replies on every member.
 */
public interface StateMachine {
    /** Applies a committed command and returns its reply. Entries arrive in log order, once. */
    ByteString apply(long index, ByteString command);

    /** Returns the whole state. */
    ByteString snapshot();

    /** Replaces the whole state by a snapshot that {@link #snapshot} returned on any member. */
    void restore(ByteString snapshot);
}
