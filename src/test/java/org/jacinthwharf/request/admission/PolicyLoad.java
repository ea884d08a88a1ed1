package org.jacinthwharf.request.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.jacinthwharf.id.CustomerId;

/**
 * Load of the policy benchmark: identical arrivals for every policy, generated from one seed.
 *
 * <p>There are 40 customers, 4 of them (10%) backlogged, and one more that sends at 100 times its
 * share. Router 0 has most customers, routers 4 and 5 have few. Immutable.
 */
final class PolicyLoad {
    static final int ROUTERS = 6;
    static final int SERVERS = 4;
    static final int SLOTS_PER_SERVER = 4;
    static final int SLOTS = SERVERS * SLOTS_PER_SERVER;
    static final int QUEUE_LIMIT = 200;
    static final double UNITS_PER_SECOND = SLOTS * 100.0;
    static final double MEAN_COST = 20;
    static final double LARGEST_COST = 80;
    static final long DURATION = 240 * Fleet.SECOND;
    static final CustomerId FLOOD = CustomerId.of("flood");

    private static final int CUSTOMERS = 40;
    private static final int BACKLOGGED = 4;
    // Routers to draw from: router 0 gets most customers.
    private static final int[] SPREAD = {0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 2, 2, 3, 4, 5};

    /** A request; its cost is known only to the backend server until it ends. */
    record Arrival(long atNanos, int router, CustomerId customer, double cost) {}

    private final Random mRandom;
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final List<CustomerId> mBacklogged = new ArrayList<>();

    PolicyLoad(long seed) {
        mRandom = new Random(seed);
        double share = UNITS_PER_SECOND / (CUSTOMERS + 1);
        mBacklogged.add(FLOOD);
        // The flooding customer sends to half of the routers.
        for (int router = 0; router < ROUTERS / 2; router++) {
            addArrivals(FLOOD, router, 100 * share / (ROUTERS / 2));
        }
        for (int i = 0; i < CUSTOMERS; i++) {
            CustomerId customer = CustomerId.of("c" + i);
            boolean backlogged = i < BACKLOGGED;
            // The backlogged customers use routers 0, 0, 1 and 5; the others are distributed by
            // SPREAD.
            int router = backlogged ? new int[] {0, 0, 1, 5}[i] : randomRouter();
            // Other customers use 40% of their share; each backlogged one offers a load of half the
            // capacity.
            double rate = backlogged ? UNITS_PER_SECOND / 2 : 0.4 * share;
            addArrivals(customer, router, rate);
            if (backlogged) {
                mBacklogged.add(customer);
            }
        }
        mArrivals.sort(Comparator.comparingLong(Arrival::atNanos));
    }

    List<Arrival> arrivals() {
        return List.copyOf(mArrivals);
    }

    List<CustomerId> backlogged() {
        return List.copyOf(mBacklogged);
    }

    private int randomRouter() {
        return SPREAD[mRandom.nextInt(SPREAD.length)];
    }

    private void addArrivals(CustomerId customer, int router, double unitsPerSecond) {
        double meanIntervalNanos = MEAN_COST / unitsPerSecond * Fleet.SECOND;
        for (double at = exponential(meanIntervalNanos);
                at < DURATION;
                at += exponential(meanIntervalNanos)) {
            double cost = Math.min(LARGEST_COST, 1 + exponential(MEAN_COST - 1));
            mArrivals.add(new Arrival((long) at, router, customer, cost));
        }
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - mRandom.nextDouble());
    }
}
