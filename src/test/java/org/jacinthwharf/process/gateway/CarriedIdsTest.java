package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.base.Strings;
import org.jacinthwharf.id.RequestId;
import org.junit.jupiter.api.Test;

/** Guards against an id that a connection has carried and that is taken for a new one. */
final class CarriedIdsTest {
    private final CarriedIds mIds = new CarriedIds();

    @Test
    void containsEachAddedIdUntilFull() {
        for (int i = 0; i < CarriedIds.MAX_IDS; i++) {
            assertThat(mIds.isFull()).isFalse();
            assertThat(mIds.contains(RequestId.of("id-" + i))).isFalse();
            mIds.add(RequestId.of("id-" + i));
        }
        assertThat(mIds.isFull()).isTrue();
        for (int i = 0; i < CarriedIds.MAX_IDS; i++) {
            assertThat(mIds.contains(RequestId.of("id-" + i))).isTrue();
        }
        assertThat(mIds.contains(RequestId.of("another"))).isFalse();
    }

    @Test
    void refusesToForgetAnId() {
        for (int i = 0; i < CarriedIds.MAX_IDS; i++) {
            mIds.add(RequestId.of("" + i));
        }
        assertThrows(IllegalStateException.class, () -> mIds.add(RequestId.of("one more")));
    }

    @Test
    void tellsLongIdsAndTheEmptyOneApart() {
        String start = Strings.repeat("x", 8_000);
        mIds.add(RequestId.of(start + "a"));
        assertThat(mIds.contains(RequestId.of(start + "a"))).isTrue();
        assertThat(mIds.contains(RequestId.of(start + "b"))).isFalse();
        assertThat(mIds.contains(RequestId.of(""))).isFalse();
        mIds.add(RequestId.of(""));
        assertThat(mIds.contains(RequestId.of(""))).isTrue();
    }
}
