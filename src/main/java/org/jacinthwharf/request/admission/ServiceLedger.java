package org.jacinthwharf.request.admission;

import com.google.common.base.Preconditions;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jacinthwharf.id.CustomerId;
import org.jacinthwharf.wire.generated.CustomerTotal;
import org.jacinthwharf.wire.generated.OriginTotals;
import org.jacinthwharf.wire.generated.ServiceTotals;

/**
 * Counts the service that each customer received anywhere, divided by its weight.
 *
 * <p>Every origin reports two growing totals per customer, charged and refunded; merging takes the
 * maximum of each, so repeated, lost and reordered messages change nothing once a later one
 * arrives. An aggregate origin must not contain the service of the router it is sent to.
 *
 * <p>Invariants: this router's own totals never shrink and are never taken from a message. A
 * customer that becomes backlogged (here or, by message, anywhere) has a counter not smaller than
 * the smallest of the customers that were backlogged before. Not thread-safe. Memory is linear in
 * customers times origins.
 */
public final class ServiceLedger {
    // A changed total is sent in this many rounds, since a link drops messages above its high mark.
    private static final int SENDS_PER_CHANGE = 3;
    // Every total is sent again in this many rounds, for a coordinator that started later. Totals
    // of zero say nothing that a receiver does not assume: 2,900 customers without service would
    // cost each link more than 5 KB/s.
    private static final int FULL_COPY_ROUNDS = 50;

    private static final class Account {
        double mWeight = 1;
        double mCounter;
        double mCharged;
        double mRefunded;
        int mSendsLeft;
        boolean mBackloggedHere;
        // Times at which reports from other origins that the customer is backlogged expire.
        final Map<String, Long> mBackloggedElsewhere = new HashMap<>();
    }

    private record Reported(double charged, double refunded) {}

    private final String mOrigin;
    private final long mBacklogLifetimeNanos;
    private final Map<CustomerId, Account> mAccounts = new HashMap<>();
    private final Set<Account> mBacklogged = new HashSet<>();
    private final Map<String, Map<CustomerId, Reported>> mOrigins = new HashMap<>();
    // Counter of the customer that was backlogged last; stands in while nobody is backlogged.
    private double mFloor;
    private double mRejoinBound;
    private long mRejoinUntil = Long.MIN_VALUE;
    private long mRound;

    /**
     * Creates an empty ledger.
     *
     * @param origin this router incarnation, {@code vmId/incarnation}
     * @param exchangeIntervalNanos interval of {@link #nextTotals}; a report that a customer is
     *     backlogged elsewhere holds for five of them
     */
    public ServiceLedger(String origin, long exchangeIntervalNanos) {
        Preconditions.checkArgument(
                exchangeIntervalNanos > 0, "interval: %s", exchangeIntervalNanos);
        mOrigin = origin;
        mBacklogLifetimeNanos = 5 * exchangeIntervalNanos;
    }

    /** Sets the weight of a customer for service from now on; without this call it is 1. */
    public void setWeight(CustomerId customer, double weight) {
        Preconditions.checkArgument(
                weight > 0 && Double.isFinite(weight), "weight of %s: %s", customer, weight);
        account(customer).mWeight = weight;
    }

    /** Returns the weight of a customer. */
    public double weight(CustomerId customer) {
        Account account = mAccounts.get(customer);
        return account == null ? 1 : account.mWeight;
    }

    /** Returns the service of a customer in cost units divided by weight. */
    public double counter(CustomerId customer) {
        Account account = mAccounts.get(customer);
        return account == null ? 0 : account.mCounter;
    }

    /** Charges service given by this router, in cost units. */
    public void charge(CustomerId customer, double units) {
        Preconditions.checkArgument(units >= 0, "charge to %s: %s", customer, units);
        Account account = account(customer);
        account.mCharged += units;
        account.mCounter += units / account.mWeight;
        account.mSendsLeft = SENDS_PER_CHANGE;
    }

    /** Takes back service charged by this router, in cost units. */
    public void refund(CustomerId customer, double units) {
        Preconditions.checkArgument(units >= 0, "refund to %s: %s", customer, units);
        Account account = account(customer);
        account.mRefunded += units;
        account.mCounter -= units / account.mWeight;
        account.mSendsLeft = SENDS_PER_CHANGE;
    }

    /** Notes whether this router holds waiting requests of the customer. */
    public void setBacklogged(CustomerId customer, boolean backlogged) {
        Account account = account(customer);
        if (account.mBackloggedHere == backlogged) {
            return;
        }
        account.mBackloggedHere = backlogged;
        account.mSendsLeft = SENDS_PER_CHANGE;
        refreshBacklog(account);
    }

    /** Merges totals received from another router or a coordinator. */
    public void merge(ServiceTotals message, long nowNanos) {
        for (OriginTotals origin : message.getOriginsList()) {
            if (origin.getOrigin().equals(mOrigin)) {
                continue;
            }
            for (CustomerTotal total : origin.getTotalsList()) {
                CustomerId.parse(total.getCustomer())
                        .ifPresent(
                                customer -> merge(origin.getOrigin(), customer, total, nowNanos));
            }
        }
        expireBacklog(nowNanos);
        if (nowNanos < mRejoinUntil) {
            clamp();
        }
    }

    private void merge(String origin, CustomerId customer, CustomerTotal total, long nowNanos) {
        Map<CustomerId, Reported> known = mOrigins.computeIfAbsent(origin, o -> new HashMap<>());
        Reported before = known.getOrDefault(customer, new Reported(0, 0));
        Reported after =
                new Reported(
                        Math.max(before.charged(), total.getTotal()),
                        Math.max(before.refunded(), total.getRefunded()));
        known.put(customer, after);
        Account account = account(customer);
        double service =
                after.charged() - before.charged() - (after.refunded() - before.refunded());
        account.mCounter += service / account.mWeight;
        if (total.getBacklogged()) {
            account.mBackloggedElsewhere.put(origin, nowNanos + mBacklogLifetimeNanos);
        } else {
            account.mBackloggedElsewhere.remove(origin);
        }
        refreshBacklog(account);
    }

    /**
     * Starts clamping after a partition: until {@code untilNanos} each merge lowers the counters
     * that exceed the smallest backlogged one by more than {@code bound}.
     */
    public void onRejoin(FairnessBound bound, long untilNanos) {
        mRejoinBound = bound.value();
        mRejoinUntil = untilNanos;
        clamp();
    }

    private void clamp() {
        if (!mBacklogged.isEmpty()) {
            double limit = smallestBacklogged() + mRejoinBound;
            mAccounts.values().forEach(a -> a.mCounter = Math.min(a.mCounter, limit));
        }
    }

    /** Returns the totals to send in this exchange round; may be without entries. */
    public ServiceTotals nextTotals() {
        boolean full = mRound++ % FULL_COPY_ROUNDS == 0;
        OriginTotals.Builder totals = OriginTotals.newBuilder().setOrigin(mOrigin);
        mAccounts.forEach(
                (customer, account) -> {
                    boolean repeated = full && account.mCharged > 0;
                    if (repeated || account.mSendsLeft > 0 || account.mBackloggedHere) {
                        account.mSendsLeft = Math.max(0, account.mSendsLeft - 1);
                        totals.addTotals(
                                CustomerTotal.newBuilder()
                                        .setCustomer(customer.value())
                                        .setTotal(account.mCharged)
                                        .setRefunded(account.mRefunded)
                                        .setBacklogged(account.mBackloggedHere));
                    }
                });
        return ServiceTotals.newBuilder().setSender(mOrigin).addOrigins(totals).build();
    }

    private void expireBacklog(long nowNanos) {
        for (Account account : List.copyOf(mBacklogged)) {
            account.mBackloggedElsewhere.values().removeIf(until -> until <= nowNanos);
            refreshBacklog(account);
        }
    }

    private void refreshBacklog(Account account) {
        boolean backlogged = account.mBackloggedHere || !account.mBackloggedElsewhere.isEmpty();
        if (backlogged && !mBacklogged.contains(account)) {
            account.mCounter = Math.max(account.mCounter, smallestBacklogged());
            mBacklogged.add(account);
        } else if (!backlogged && mBacklogged.remove(account) && mBacklogged.isEmpty()) {
            mFloor = account.mCounter;
        }
    }

    private double smallestBacklogged() {
        return mBacklogged.stream().mapToDouble(a -> a.mCounter).min().orElse(mFloor);
    }

    /**
     * Returns by how much the counter of a customer exceeds the smallest one of the customers that
     * wait anywhere; 0 if none waits.
     */
    public double aheadOfBacklog(CustomerId customer) {
        return mBacklogged.isEmpty() ? 0 : Math.max(0, counter(customer) - smallestBacklogged());
    }

    private Account account(CustomerId customer) {
        return mAccounts.computeIfAbsent(customer, c -> new Account());
    }
}
