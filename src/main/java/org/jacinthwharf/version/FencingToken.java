package org.jacinthwharf.version;

import java.util.Comparator;

/**
 * A fencing token for orders to engines; a later order has a greater token.
 *
 * <p>Immutable.
 *
 * @param term consensus term in which the order was committed
 * @param number sequence number of the order within the control state machine
 */
public record FencingToken(long term, long number) implements Comparable<FencingToken> {
    private static final Comparator<FencingToken> ORDER =
            Comparator.comparingLong(FencingToken::term).thenComparingLong(FencingToken::number);

    @Override
    public int compareTo(FencingToken other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return term + "." + number;
    }
}
