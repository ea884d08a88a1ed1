package org.jacinthwharf.request.admission;

import org.jacinthwharf.id.CustomerId;

/**
 * Charges one request to its customer: the estimate at the start, any excess over the estimate
 * while output arrives, and the difference from the measured cost at the end.
 *
 * <p>Invariant: after {@link #finish} exactly the measured cost has been charged; further calls
 * have no effect. Not thread-safe.
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

    /** Charges {@code estimate} cost units and returns the charge for later adjustment. */
    public static RequestCharge start(ServiceLedger ledger, CustomerId customer, double estimate) {
        ledger.charge(customer, estimate);
        return new RequestCharge(ledger, customer, estimate);
    }

    /** Charges the excess of {@code measured}, the cost so far, over the amount already charged. */
    public void progress(double measured) {
        if (!mFinished && measured > mCharged) {
            mLedger.charge(mCustomer, measured - mCharged);
            mCharged = measured;
        }
    }

    /**
     * Charges or refunds the difference between {@code measured}, the final cost, and the amount
     * already charged.
     */
    public void finish(double measured) {
        if (mFinished) {
            return;
        }
        progress(measured);
        mLedger.refund(mCustomer, mCharged - Math.max(0, measured));
        mFinished = true;
    }
}
