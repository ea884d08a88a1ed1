package org.jacinthwharf.process.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.wire.generated.DirectoryUpdate;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.junit.jupiter.api.Test;

/**
 * Guards against gateways that spend their processor and their link on the same announcement from
 * every control member, and against changes that reach them late.
 */
final class DirectoryServiceTest {
    private final ManualEventLoop mLoop = new ManualEventLoop();
    private final FakeLink mRelayed = new FakeLink("10.0.0.1", "gateway");
    private final FakeLink mOther = new FakeLink("10.0.0.2", "gateway");
    private final List<Link> mGateways = List.of(mRelayed, mOther);
    private final DirectoryService mDirectory = new DirectoryService(l -> l == mRelayed, mLoop);

    private static ServerRecord record(long sequence, ServerStatus status) {
        return ServerRecord.newBuilder()
                .setServer("s1")
                .setService("engines")
                .setAddress("10.0.1.1:80")
                .setSlots(1)
                .setBornMillis(1)
                .setSequence(sequence)
                .setStatus(status)
                .build();
    }

    private void update(long sequence, ServerStatus status) {
        mDirectory.onMemberUpdate(
                DirectoryUpdate.newBuilder().addRecords(record(sequence, status)).build(),
                mGateways);
    }

    private void connect() {
        mGateways.forEach(mDirectory::onUp);
        update(1, ServerStatus.SERVING);
        mRelayed.mSent.clear();
        mOther.mSent.clear();
    }

    // Guards against a move that is done at once because a member has just started.
    @Test
    void servicesRunOneVersionOnlyOnceThisMemberKnowsAllServers() {
        ServerRecord old = record(1, ServerStatus.SERVING).toBuilder().setVersion("v1").build();
        ServerRecord young =
                old.toBuilder().setServer("s2").setAddress("10.0.1.2:80").setVersion("v2").build();
        mDirectory.announce(old);
        assertThat(mDirectory.runsOnly("engines", "v1")).isFalse();
        mLoop.advance(Duration.ofSeconds(5));
        assertThat(mDirectory.runsOnly("engines", "v1")).isTrue();
        assertThat(mDirectory.runsOnly("engines", "v2")).isFalse();
        assertThat(mDirectory.runsOnly("portal", "v1")).isFalse();
        mDirectory.announce(young);
        assertThat(mDirectory.runsOnly("engines", "v1")).isFalse();
        mDirectory.deregister("s2", 1);
        assertThat(mDirectory.runsOnly("engines", "v1")).isTrue();
    }

    @Test
    void anAnnouncementWithoutChangesGoesToTheGatewaysOfThisRelayOnly() {
        connect();
        update(2, ServerStatus.SERVING);
        assertThat(mRelayed.mSent).isEmpty();
        mDirectory.sendRefreshed();
        assertThat(mRelayed.mSent).hasSize(1);
        assertThat(mOther.mSent).isEmpty();
    }

    @Test
    void anAnnouncementThatThisMemberReceivedGoesToAllGateways() {
        connect();
        mDirectory.announce(record(2, ServerStatus.SERVING));
        mDirectory.sendRefreshed();
        assertThat(mRelayed.mSent).hasSize(1);
        assertThat(mOther.mSent).hasSize(1);
    }

    @Test
    void aServerThatLeavesIsForwardedToAllGatewaysAtOnce() {
        connect();
        update(2, ServerStatus.DRAINING);
        assertThat(mRelayed.mSent).hasSize(1);
        assertThat(mOther.mSent).hasSize(1);
    }
}
