import java.util.List;
import java.util.UUID;

/**
 * Requesters send repeatable requests; then another writer sends one liveness report whose address
 * is a link-local IPv6 address with the interface of its own host (with TROUBLE=0: sends none).
 */
final class OddEntry {
    private OddEntry() {}

    public static void main(String[] args) {
        Kit.run(args, OddEntry::body);
    }

    private static int body(Kit.Record record) throws Exception {
        try (Kit.Fleet fleet = new Kit.Fleet(record, 3, 2)) {
            fleet.start();
            List<Kit.Replica> replicas = Stock.serve(fleet);
            Load load = new Load(fleet, record);
            load.start(Stock.REQUESTERS, () -> UUID.randomUUID().toString());
            Kit.pause(8_000);
            record.say("before: sent=%d served=%d", load.mSent.get(), load.mServed.get());
            if (load.hasFailed()) {
                throw new Kit.CouldNotRun("requests failed before the report");
            }
            if (Kit.trouble()) {
                String report =
                        "{\"service\":\"trade\",\"addr\":\"[fe80::5054:ff:fe12:3456%ens5]:8080\","
                                + "\"zone\":\"quetzaltenango\",\"version\":\"v1\",\"slots\":6,"
                                + "\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":"
                                + System.currentTimeMillis()
                                + "}";
                int status = fleet.order(0, "POST", "/Replicas.Heartbeat/i-other", report, 1_000);
                record.say("the other writer's report: %d", status);
            }
            Kit.pause(40_000);
            load.stop();
            for (String ip : fleet.mFronts) {
                fleet.recordLog(ip, "No such interface|invariant_broken", 6);
            }
            return load.judge(replicas);
        }
    }
}
