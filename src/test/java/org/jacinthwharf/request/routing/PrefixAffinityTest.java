package org.jacinthwharf.request.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jacinthwharf.id.BackendServerId;
import org.junit.jupiter.api.Test;

/** Guards against the use of stale cache events, and of servers without a granted slot. */
final class PrefixAffinityTest {
    private static final long SECOND = 1_000_000_000L;
    private static final List<BackendServerId> SERVERS =
            List.of(BackendServerId.of("a"), BackendServerId.of("b"), BackendServerId.of("c"));

    private final PrefixAffinity mAffinity = new PrefixAffinity();
    private final PrefixKey mPrefix = PrefixKey.of("x".repeat(256));
    private final BackendServerId mHashChoice = mAffinity.choose(mPrefix, SERVERS, 0);
    private final BackendServerId mOtherServer =
            SERVERS.stream().filter(s -> !s.equals(mHashChoice)).findFirst().orElseThrow();

    /** Age, eviction, an engine restart and a gap in the events each invalidate an event. */
    @Test
    void reportedServerIsChosenUntilTheEventIsInvalid() {
        event(1, 1, mPrefix, true, 0);
        assertThat(mAffinity.choose(mPrefix, SERVERS, 60 * SECOND - 1)).isEqualTo(mOtherServer);
        assertThat(mAffinity.choose(mPrefix, SERVERS, 60 * SECOND)).isEqualTo(mHashChoice);
        event(1, 2, mPrefix, false, 1);
        assertThat(mAffinity.choose(mPrefix, SERVERS, 1)).isEqualTo(mHashChoice);
        event(1, 3, mPrefix, true, 2);
        event(1, 5, PrefixKey.of("unrelated"), true, 3);
        assertThat(mAffinity.choose(mPrefix, SERVERS, 3)).isEqualTo(mHashChoice);
        event(1, 6, mPrefix, true, 4);
        event(2, 1, PrefixKey.of("unrelated"), true, 5);
        event(1, 7, mPrefix, true, 6);
        assertThat(mAffinity.choose(mPrefix, SERVERS, 7)).isEqualTo(mHashChoice);
    }

    /** Without consistent hashing, each router would send the same prompt to a different server. */
    @Test
    void keyUsesFirst256CharactersAndRemovedServerKeepsOtherAssignments() {
        assertThat(PrefixKey.of("x".repeat(256) + "tail")).isEqualTo(mPrefix);
        assertThat(PrefixKey.of("x".repeat(255) + "y")).isNotEqualTo(mPrefix);
        assertThat(PrefixKey.parse(mPrefix.toString())).hasValue(mPrefix);
        List<BackendServerId> fewer = new ArrayList<>(SERVERS);
        fewer.remove(mOtherServer);
        assertThat(mAffinity.choose(mPrefix, fewer, 0)).isEqualTo(mHashChoice);
    }

    /** A cache hint must neither select a server without a slot nor exhaust memory. */
    @Property(seed = "20260415", tries = 200)
    void choiceIsAlwaysGrantedAndMemoryStaysBounded(
            @ForAll @Size(max = 300) List<@IntRange(max = 1_000_000) Integer> events) {
        PrefixAffinity affinity = new PrefixAffinity();
        for (int i = 0; i < events.size(); i++) {
            BackendServerId server = BackendServerId.of("s" + events.get(i) % 2);
            PrefixKey prefix = PrefixKey.of("p" + events.get(i));
            affinity.onCacheEvent(new CacheEvent(server, 1, i + 1, prefix, true), i);
            assertThat(SERVERS).contains(affinity.choose(prefix, SERVERS, i));
        }
        for (int i = 0; i < 1_000; i++) {
            BackendServerId server = BackendServerId.of("a");
            PrefixKey prefix = PrefixKey.of("q" + i);
            affinity.onCacheEvent(new CacheEvent(server, 1, i + 1, prefix, true), i);
        }
        assertThat(affinity.prefixCount()).isAtMost(3 * PrefixAffinity.MAX_PREFIXES_PER_SERVER);
    }

    private void event(long incarnation, long sequence, PrefixKey key, boolean cached, long now) {
        mAffinity.onCacheEvent(
                new CacheEvent(mOtherServer, incarnation, sequence, key, cached), now);
    }
}
