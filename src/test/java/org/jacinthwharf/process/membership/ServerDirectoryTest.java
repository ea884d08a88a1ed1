package org.jacinthwharf.process.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.junit.jupiter.api.Test;

/** Guards against late records that restore an outdated state. */
final class ServerDirectoryTest {
    private final List<String> mForgotten = new ArrayList<>();
    private final ServerDirectory mDirectory = new ServerDirectory(mForgotten::add);

    private static ServerRecord record(
            String id, String address, long born, long sequence, ServerStatus status) {
        return ServerRecord.newBuilder()
                .setServer(id)
                .setAddress(address)
                .setService("s")
                .setBornMillis(born)
                .setSequence(sequence)
                .setStatus(status)
                .build();
    }

    private ServerStatus status(String id) {
        return mDirectory.find(id).orElseThrow().record().getStatus();
    }

    /** Guards against another writer whose entries use up the memory of all processes. */
    @Test
    void recordsAreBoundInBytesAndServersThatGoOnAnnouncingThemselvesAreKept() {
        String longName = "v".repeat(16 << 10);
        for (int i = 0; i < 20_000; i++) {
            mDirectory.merge(
                    record("odd" + i, "x" + i, 1, 1, ServerStatus.SERVING).toBuilder()
                            .setVersion(longName)
                            .build(),
                    i);
            if (i % 100 == 0) {
                mDirectory.merge(record("sound", "y", 1, i + 1, ServerStatus.SERVING), i);
            }
        }
        long bytes =
                mDirectory.entries().stream().mapToLong(e -> e.record().getSerializedSize()).sum();
        assertThat(bytes).isAtMost(8 << 20);
        assertThat(mDirectory.find("sound")).isPresent();
        assertThat(mForgotten).hasSize(20_001 - mDirectory.entries().size());
        mDirectory.expire(Long.MAX_VALUE / 2);
        mDirectory.merge(record("later", "z", 1, 1, ServerStatus.SERVING), 0);
        assertThat(mDirectory.entries()).hasSize(1);
    }

    @Test
    void lateRecordsDoNotRestoreDrainingServers() {
        mDirectory.merge(record("a", "x", 1, 5, ServerStatus.DRAINING), 0);
        assertThat(mDirectory.merge(record("a", "x", 1, 4, ServerStatus.SERVING), 1))
                .isEqualTo(ServerDirectory.Change.NONE);
        assertThat(status("a")).isEqualTo(ServerStatus.DRAINING);
    }

    @Test
    void lateRecordsDoNotRestoreServersThatLeft() {
        mDirectory.merge(record("a", "x", 1, 5, ServerStatus.SERVING), 0);
        assertThat(mDirectory.markGone("a", 0, 1)).isPresent();
        mDirectory.merge(record("a", "x", 1, 9, ServerStatus.SERVING), 2);
        assertThat(status("a")).isEqualTo(ServerStatus.GONE);
    }

    @Test
    void recordsOfRestartedServersReplaceThoseOfEarlierIncarnations() {
        mDirectory.merge(record("a", "x", 1, 500, ServerStatus.SERVING), 0);
        mDirectory.markGone("a", 1, 1);
        mDirectory.merge(record("a", "y", 2, 1, ServerStatus.SERVING), 2);
        assertThat(status("a")).isEqualTo(ServerStatus.SERVING);
        assertThat(mDirectory.merge(record("a", "x", 1, 501, ServerStatus.SERVING), 3))
                .isEqualTo(ServerDirectory.Change.NONE);
    }

    @Test
    void recordsOfStoppedServersDoNotTakeTheAddressOfTheirSuccessors() {
        mDirectory.merge(record("new", "x", 2, 1, ServerStatus.SERVING), 0);
        assertThat(mDirectory.merge(record("old", "x", 1, 7, ServerStatus.SERVING), 1))
                .isEqualTo(ServerDirectory.Change.NONE);
        assertThat(mDirectory.find("old")).isEmpty();
    }

    @Test
    void agesAndColdTimesAreSentAsOfTheTimeOfSending() {
        ServerRecord cold =
                record("a", "x", 1, 1, ServerStatus.SERVING).toBuilder()
                        .setColdLeftMillis(3_000)
                        .build();
        mDirectory.merge(cold, 0);
        ServerRecord later = mDirectory.find("a").orElseThrow().toMessage(1_000_000_000L);
        assertThat(later.getAgeMillis()).isEqualTo(1_000);
        assertThat(later.getColdLeftMillis()).isEqualTo(2_000);
    }

    @Test
    void lateRecordsDoNotEndColdTimes() {
        ServerRecord cold =
                record("a", "x", 1, 5, ServerStatus.SERVING).toBuilder()
                        .setColdLeftMillis(3_000)
                        .build();
        mDirectory.merge(cold, 0);
        mDirectory.merge(record("a", "x", 1, 4, ServerStatus.DRAINING), 1_000_000_000L);
        assertThat(mDirectory.find("a").orElseThrow().coldUntilNanos()).isEqualTo(3_000_000_000L);
    }

    @Test
    void agesOfForwardedRecordsDoNotShortenColdTimes() {
        ServerRecord relayed =
                record("a", "x", 1, 1, ServerStatus.SERVING).toBuilder()
                        .setAgeMillis(700)
                        .setColdLeftMillis(3_000)
                        .build();
        mDirectory.merge(relayed, 0);
        assertThat(mDirectory.find("a").orElseThrow().toMessage(0).getColdLeftMillis())
                .isEqualTo(3_000);
    }
}
