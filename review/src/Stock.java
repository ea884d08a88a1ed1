import java.util.ArrayList;
import java.util.List;

/** The service of some cases: two replicas of six slots, and more demand than they take. */
final class Stock {
    static final int REQUESTERS = 48;

    private Stock() {}

    /** Sends the first desired state, starts the replicas and waits for ready fronts. */
    static List<Kit.Replica> serve(Kit.Fleet fleet) throws Exception {
        String config =
                Kit.config(
                        1,
                        List.of(Kit.route("stock", "/stock/", "idempotent", "trade", 2)),
                        "trade",
                        Kit.tenant("hule930", Load.KEY));
        if (fleet.orderUntilClear("POST", "/Config.Put", config, 30_000) != 200) {
            throw new Kit.CouldNotRun("no ack of the first desired state");
        }
        List<Kit.Replica> replicas = new ArrayList<>();
        replicas.add(new Kit.Replica(fleet, "i-old1", "trade", "v1", "quetzaltenango", 6));
        replicas.add(new Kit.Replica(fleet, "i-old2", "trade", "v1", "totonicapan", 6));
        Kit.await("ready fronts", 20_000, () -> fleet.isReady(0) && fleet.isReady(1));
        Kit.pause(3_000);
        return replicas;
    }
}
