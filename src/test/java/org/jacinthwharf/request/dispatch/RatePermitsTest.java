package org.jacinthwharf.request.dispatch;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against gateways that together send a server more than the rate that it names. */
final class RatePermitsTest {
    private static final int WINDOW_MILLIS = 4_000;
    private static final String SERVER = "i-1";

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static List<String> gateways(int count) {
        return IntStream.range(0, count).mapToObj(i -> "10.0.0." + i).toList();
    }

    private static BackendServer limitedServer(double rate) {
        BackendServer server = new BackendServer(SERVER, 1);
        server.onNamedRate(OptionalDouble.of(rate), 0);
        return server;
    }

    /**
     * Runs gateways that always have a request waiting, some of which restart, so that the others
     * hear of another list up to 100 ms apart; returns the times at which requests are sent.
     */
    private static List<Integer> sendAll(int count, double rate, Random random) {
        return sendAll(count, rate, random, 0);
    }

    /**
     * As above, with customers that come and go at the gateways; each gateway hears of it up to
     * {@code demandDelayMillis} later, and none does if that is 0.
     */
    private static List<Integer> sendAll(
            int count, double rate, Random random, int demandDelayMillis) {
        Map<String, GatewayRanks> ranks = new HashMap<>();
        Map<String, RatePermits> permits = new HashMap<>();
        Map<String, BackendServer> servers = new HashMap<>();
        for (String g : gateways(count)) {
            ranks.put(g, new GatewayRanks(g));
            ranks.get(g).setGateways(gateways(count));
            permits.put(g, new RatePermits(ranks.get(g)));
            servers.put(g, limitedServer(rate));
        }
        int step = count > 20 ? 25 : 5;
        List<Integer> sent = new ArrayList<>();
        Map<String, Integer> changeMillis = new HashMap<>();
        List<String> list = gateways(count);
        Map<String, Double> demand = Map.of();
        Map<String, Integer> demandMillis = new HashMap<>();
        for (int now = 0; now < 60_000; now += step) {
            if (now % 6_000 == 5_000 && count > 2) {
                list = new ArrayList<>(gateways(count));
                list.remove(random.nextInt(count));
                for (String g : list) {
                    changeMillis.put(g, now + random.nextInt(100));
                }
            }
            if (demandDelayMillis > 0 && now % 1_500 == 0) {
                Map<String, Double> changed = new HashMap<>();
                for (int i = 0; i < 1 + random.nextInt(count); i++) {
                    changed.put("10.0.0." + random.nextInt(count), 5 * random.nextDouble());
                }
                demand = changed;
                gateways(count)
                        .forEach(g -> demandMillis.put(g, random.nextInt(demandDelayMillis)));
            }
            for (String g : gateways(count)) {
                if (now % 1_500 >= demandMillis.getOrDefault(g, 10_000)) {
                    ranks.get(g).setDemand(demand, nanos(now));
                }
                if (changeMillis.getOrDefault(g, Integer.MAX_VALUE) <= now) {
                    changeMillis.remove(g);
                    ranks.get(g).setGateways(list);
                }
                BackendServer server = servers.get(g);
                server.onNamedRate(OptionalDouble.of(rate), nanos(now));
                if (permits.get(g).allows(server, nanos(now))) {
                    server.onSent(0, 0, nanos(now));
                    sent.add(now);
                }
            }
        }
        return sent;
    }

    private static int mostInWindow(List<Integer> sent) {
        int most = 0;
        for (int i = 0, j = 0; i < sent.size(); i++) {
            while (sent.get(i) - sent.get(j) >= WINDOW_MILLIS) {
                j++;
            }
            most = Math.max(most, i - j + 1);
        }
        return most;
    }

    @ParameterizedTest
    @CsvSource({
        "1, 3.1",
        "2, 0.4",
        "6, 0.05",
        "6, 0.5",
        "6, 1.9",
        "6, 3.1",
        "6, 7.1",
        "6, 40",
        "72, 1",
        "72, 20",
        "850, 0.1",
        "850, 5"
    })
    void gatewaysTogetherKeepTheRateInAnyFourSecondsAndUseMostOfIt(int count, double rate) {
        List<Integer> sent = sendAll(count, rate, new Random(7));
        assertWithMessage("requests in 4 s")
                .that((double) mostInWindow(sent))
                .isAtMost(6 * rate + 5);
        assertWithMessage("requests in 60 s").that((double) sent.size()).isAtLeast(0.8 * 60 * rate);
        assertWithMessage("requests in 60 s")
                .that((double) sent.size())
                .isAtMost(60 * Math.max(0.1, rate) * 1.1 + 10);
    }

    // Guards against gateways that take over a part of the rate before the others have left it.
    @ParameterizedTest
    @CsvSource({"6, 0.5", "6, 1.2", "6, 2.5", "6, 7.1", "10, 1", "10, 2", "72, 1", "72, 20"})
    void partsThatFollowTheDemandKeepTheRateWhileItChanges(int count, double rate) {
        for (int seed = 0; seed < 8; seed++) {
            List<Integer> sent = sendAll(count, rate, new Random(seed), 400);
            assertWithMessage("requests in 4 s, seed %s", seed)
                    .that((double) mostInWindow(sent))
                    .isAtMost(6 * rate + 5);
        }
    }

    @Test
    void serverThatNamesNoRateIsNotLimited() {
        BackendServer server = new BackendServer(SERVER, 1);
        RatePermits permits = new RatePermits(new GatewayRanks("10.0.0.0"));
        server.onSent(0, 0, 0);
        assertThat(permits.allows(server, 1)).isTrue();
        server.onNamedRate(OptionalDouble.of(3), 0);
        assertThat(permits.allows(server, 1)).isFalse();
        server.onNamedRate(OptionalDouble.empty(), 1);
        assertThat(permits.allows(server, 1)).isTrue();
    }

    @Test
    void serverThatTakesNothingIsStillAskedNowAndThen() {
        List<Integer> sent = sendAll(6, 0, new Random(1));
        assertThat(sent.size()).isIn(Range.closed(4, 12));
    }

    // Guards against a limit that comes back with an old message after the server has ended it.
    @Test
    void newestStatementCountsAndOlderOnesOfOtherGatewaysDoNot() {
        NamedRate rate = new NamedRate();
        rate.onFleet(new NamedRate.Statement(OptionalDouble.of(3), nanos(1_000)), nanos(1_010));
        assertThat(rate.rate(nanos(1_010))).isEqualTo(OptionalDouble.of(3));
        assertThat(rate.toShare(nanos(1_010))).isEmpty();
        rate.onAnswer(OptionalDouble.empty(), nanos(2_000));
        assertThat(rate.rate(nanos(2_000))).isEqualTo(OptionalDouble.empty());
        rate.onFleet(new NamedRate.Statement(OptionalDouble.of(3), nanos(2_020)), nanos(2_050));
        assertThat(rate.rate(nanos(2_050))).isEqualTo(OptionalDouble.empty());
        assertThat(rate.toShare(nanos(2_050)).get().rate()).isEqualTo(OptionalDouble.empty());
        rate.onFleet(new NamedRate.Statement(OptionalDouble.of(2), nanos(2_500)), nanos(2_520));
        assertThat(rate.rate(nanos(2_520))).isEqualTo(OptionalDouble.of(2));
        assertThat(rate.toShare(nanos(2_520))).isEmpty();
    }

    @Test
    void endOfTheLimitIsSharedForFewSeconds() {
        NamedRate rate = new NamedRate();
        rate.onAnswer(OptionalDouble.empty(), nanos(1_000));
        assertThat(rate.toShare(nanos(1_000))).isEmpty();
        rate.onAnswer(OptionalDouble.of(3), nanos(2_000));
        rate.onAnswer(OptionalDouble.empty(), nanos(3_000));
        rate.onAnswer(OptionalDouble.empty(), nanos(7_900));
        assertThat(rate.toShare(nanos(7_900))).isPresent();
        rate.onAnswer(OptionalDouble.empty(), nanos(8_100));
        assertThat(rate.toShare(nanos(8_100))).isEmpty();
    }

    // Guards against a gateway without a part of the rate that missed the end of the limit.
    @Test
    void limitThatNoAnswerConfirmsIsForgotten() {
        NamedRate rate = new NamedRate();
        rate.onFleet(new NamedRate.Statement(OptionalDouble.of(3), nanos(1_000)), nanos(1_010));
        assertThat(rate.rate(nanos(30_000))).isEqualTo(OptionalDouble.of(3));
        assertThat(rate.rate(nanos(32_000))).isEqualTo(OptionalDouble.empty());
    }
}
