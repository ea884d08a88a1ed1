import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Requesters whose Request-Ids are eight random bytes in base64 send repeatable requests; after a
 * while the operator orders a rollout of the service (with TROUBLE=0: orders nothing).
 */
final class RolloutIds {
    private static final int RAMP_SECONDS = 20;

    private RolloutIds() {}

    public static void main(String[] args) {
        Kit.run(args, RolloutIds::body);
    }

    private static String newId() {
        byte[] raw = new byte[8];
        ThreadLocalRandom.current().nextBytes(raw);
        return Base64.getEncoder().encodeToString(raw);
    }

    private static int body(Kit.Record record) throws Exception {
        try (Kit.Fleet fleet = new Kit.Fleet(record, 3, 2)) {
            fleet.start();
            List<Kit.Replica> replicas = Stock.serve(fleet);
            Load load = new Load(fleet, record);
            load.start(Stock.REQUESTERS, RolloutIds::newId);
            Kit.pause(8_000);
            replicas.add(new Kit.Replica(fleet, "i-new1", "trade", "v2", "quetzaltenango", 6));
            replicas.add(new Kit.Replica(fleet, "i-new2", "trade", "v2", "totonicapan", 6));
            Kit.pause(2_000);
            record.say("before: sent=%d served=%d", load.mSent.get(), load.mServed.get());
            if (load.hasFailed()) {
                throw new Kit.CouldNotRun("requests failed before the rollout");
            }
            if (Kit.trouble()) {
                String order =
                        "{\"service\":\"trade\",\"target\":\"v2\",\"rampS\":" + RAMP_SECONDS + "}";
                int status = fleet.orderUntilClear("POST", "/Rollouts.Start", order, 4_000);
                record.say("Rollouts.Start: %d", status);
                if (status != 200) {
                    throw new Kit.CouldNotRun("the rollout was not acknowledged");
                }
            }
            Kit.pause((RAMP_SECONDS + 4) * 1_000);
            load.stop();
            if (Kit.trouble()) {
                record.say("Rollouts.Get: %s", fleet.read("/Rollouts.Get/trade").trim());
            }
            for (String ip : fleet.mFronts) {
                fleet.recordLog(ip, "malformed request id|invariant_broken", 6);
            }
            return load.judge(replicas);
        }
    }
}
