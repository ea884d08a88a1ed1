import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A control machine is replaced as planned, the new one first; once it has had its time, another
 * control machine loses its disk.
 */
final class QuorumAfterReplacement {
    private QuorumAfterReplacement() {}

    static boolean run(ReviewCase.Context c) throws Exception {
        Fleet fleet = c.mFleet;
        Fleet.Machine first = fleet.core(1, 20);
        Fleet.Machine second = fleet.core(2, 20);
        Fleet.Machine third = fleet.core(3, 20);
        List<String> control =
                new CopyOnWriteArrayList<>(
                        List.of(first.control(), second.control(), third.control()));
        Operator operator = new Operator(() -> control, c.mRecord);
        first.start(true);
        second.start(true);
        third.start(true);
        Fleet.Machine front1 = fleet.gateway(1, 40);
        Fleet.Machine front2 = fleet.gateway(2, 40);
        front1.start(true);
        front2.start(true);
        ReviewCase.put(operator, ReviewCase.desiredState(4, "idempotent", 2, 3_000), 20_000);
        Replica replica =
                new Replica("i-1", "desk", "v1", "z1", fleet.serverIp(1, 60), 6, () -> control, r -> {
                    Thread.sleep(30);
                    return 200;
                }, c.mRecord);
        Callers callers =
                new Callers(() -> List.of(front1.front(), front2.front()), "h.example", "/a/x", "key1", 2_000, 10, c.mRecord);
        ReviewCase.awaitServed(callers, 20, 20_000);

        c.mRecord.show("planned: a new control machine, then SIGTERM to the one that it replaces");
        Fleet.Machine successor = fleet.core(1, 21);
        successor.start(false);
        Thread.sleep(ReviewCase.SYNC_MILLIS + 1_500);
        control.add(successor.control());
        first.terminate(ReviewCase.GRACE_MILLIS);
        control.remove(first.control());
        ReviewCase.put(operator, ReviewCase.desiredState(9, "idempotent", 2, 3_000), 8_000);
        c.mRecord.show("version 9 is acknowledged");

        if (c.mTrouble) {
            Thread.sleep(Long.parseLong(System.getenv().getOrDefault("WAIT_MILLIS", "0")));
            second.kill();
            second.loseDisk();
            Thread.sleep(1_000);
            second.start(false);
            c.mRecord.show("one control machine is back with an empty disk");
        }
        Thread.sleep(ReviewCase.RECOVERY_MILLIS + ReviewCase.SYNC_MILLIS);
        int served = callers.mServed.get();
        Http.Message read = operator.order("GET", "/Config.Get", "", 15_000);
        boolean comes = read != null && read.status() == 200 && Json.number(read.text(), "version") == 9;
        c.mRecord.show(
                "read at %.0f s: %s", c.mRecord.seconds(),
                comes ? "version 9" : read == null ? "it does not come" : read.status() + " " + read.text());
        Http.Message next =
                operator.order("POST", "/Config.Put", ReviewCase.desiredState(12, "idempotent", 2, 3_000), 8_000);
        c.mRecord.show(
                "version 12: %s; callers served meanwhile: %d",
                next == null ? "no acknowledgement" : next.status(), callers.mServed.get() - served);
        callers.close();
        replica.close();
        return !comes;
    }
}
