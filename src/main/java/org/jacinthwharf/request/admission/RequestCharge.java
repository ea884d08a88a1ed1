package org.jacinthwharf.request.admission;

import org.jacinthwharf.id.CustomerId;

/**
 * Charges one request to its customer: the estimate at the start, more as output exceeds the
 * estimate, and the difference from the measured cost at the end.
 *
 * <p>Invariant: after {@link #finish} exactly the measured cost is charged, however often it is
 * called. Not thread-safe.
 */
public final class RequestCharge {
    private final ServiceLedger mLedger;
    private final CustomerId mCustomer;
    private double mCharged;
    private boolean mFinished;

    private RequestCharge(ServiceLedger ledger, CustomerId customer, double estimate) {
        mLedger = ledger;
        mCustomer = customer;
        mCharged = estimate;
    }

    /** Charges {@code estimate} cost units and returns the charge of the request. */
    public static RequestCharge start(ServiceLedger ledger, CustomerId customer, double estimate) {
        ledger.charge(customer, estimate);
        return new RequestCharge(ledger, customer, estimate);
    }

    /** Charges what {@code measured}, the cost so far, exceeds the amount charged. */
    public void progress(double measured) {
        if (!mFinished && measured > mCharged) {
            mLedger.charge(mCustomer, measured - mCharged);
            mCharged = measured;
        }
    }

    /** Charges or refunds the difference between {@code measured} and the amount charged. */
    public void finish(double measured) {
        if (mFinished) {
            return;
        }
        progress(measured);
        mLedger.refund(mCustomer, mCharged - Math.max(0, measured));
        mFinished = true;
    }
}
