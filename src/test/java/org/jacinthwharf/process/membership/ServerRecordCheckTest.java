package org.jacinthwharf.process.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.function.UnaryOperator;
import org.jacinthwharf.request.dispatch.RoutingTableCheck;
import org.jacinthwharf.wire.generated.DirectoryUpdate;
import org.jacinthwharf.wire.generated.RoutingTable;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;
import org.jacinthwharf.wire.generated.Service;
import org.junit.jupiter.api.Test;

/** Guards against records of another writer that stop the followers of the directory. */
final class ServerRecordCheckTest {
    private static final ServerRecord VALID =
            ServerRecord.newBuilder()
                    .setServer("i-1")
                    .setService("engines")
                    .setAddress("10.0.0.9:8080")
                    .setFailureDomain("west")
                    .setVersion("v1")
                    .setSlots(64)
                    .setBornMillis(1_700_000_000_000L)
                    .setSequence(4)
                    .setStatus(ServerStatus.SERVING)
                    .build();

    private static ServerRecord changed(UnaryOperator<ServerRecord.Builder> change) {
        return change.apply(VALID.toBuilder()).build();
    }

    // Guards against services of a valid configuration that can never have a server.
    @Test
    void anyServiceOfValidConfigurationsCanHaveServers() {
        String longest = "s".repeat(RoutingTableCheck.MAX_NAME_LENGTH);
        for (String name : List.of("a\tb", "a\r\nb", "\u0000", " ", "\u00e9", longest)) {
            RoutingTable table =
                    RoutingTable.newBuilder()
                            .addServices(Service.newBuilder().setName(name))
                            .build();
            assertThat(RoutingTableCheck.problem(table)).isEmpty();
            ServerRecord record = changed(r -> r.setService(name).setVersion(name));
            assertThat(ServerRecordCheck.problem(record)).isEmpty();
        }
    }

    @Test
    void recordsWithImpossibleFieldsAreLeftOutAndTheOthersHold() {
        List<ServerRecord> odd =
                List.of(
                        changed(r -> r.setServer("")),
                        changed(r -> r.setServer("i 1")),
                        changed(r -> r.setServer("i".repeat(300))),
                        changed(r -> r.setService("")),
                        changed(
                                r ->
                                        r.setService(
                                                "m".repeat(RoutingTableCheck.MAX_NAME_LENGTH + 1))),
                        changed(r -> r.setFailureDomain("z".repeat(1_000_000))),
                        changed(
                                r ->
                                        r.setVersion(
                                                "v".repeat(RoutingTableCheck.MAX_NAME_LENGTH + 1))),
                        changed(r -> r.setAddress("")),
                        changed(r -> r.setAddress("host:1")),
                        changed(r -> r.setAddress("10.0.0.9:0")),
                        changed(r -> r.setAddress("10.0.0.9:65536")),
                        changed(r -> r.setAddress("0.0.0.0:1")),
                        changed(r -> r.setAddress("[::]:1")),
                        changed(r -> r.setStatusValue(99)),
                        changed(r -> r.setSlots(0)),
                        changed(r -> r.setSlots(Integer.MIN_VALUE)),
                        changed(r -> r.setBornMillis(Long.MAX_VALUE)),
                        changed(r -> r.setSequence(Long.MAX_VALUE)),
                        changed(r -> r.setSequence(-1)),
                        changed(r -> r.setColdLeftMillis(Long.MAX_VALUE)),
                        changed(r -> r.setAgeMillis(Long.MIN_VALUE)));
        odd.forEach(r -> assertThat(ServerRecordCheck.problem(r)).isPresent());
        DirectoryUpdate update =
                DirectoryUpdate.newBuilder().addAllRecords(odd).addRecords(VALID).build();
        assertThat(ServerRecordCheck.validRecords(update)).containsExactly(VALID);
    }
}
