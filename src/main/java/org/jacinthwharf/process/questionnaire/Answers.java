package org.jacinthwharf.process.questionnaire;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The answers to the questionnaire; the components map to the keys of an answers file.
 *
 * <p>Immutable. Answers that {@link AnswersReader} returned are complete and consistent.
 *
 * @param deployment name of the deployment
 * @param region region that all failure domains are in
 * @param failureDomains failure domains with their entry VMs
 * @param ports ports on every VM
 * @param controlMembers number of control members; if null, {@link MemberChoice} decides
 * @param dataFolder folder on VMs with a disk that holds the data folder of each member
 * @param operatorTokenFile path of the operator token on VMs with a disk
 * @param drainDelayMs time between reporting not ready and closing the listening sockets
 * @param models models and their first version
 * @param services plain services and their first version
 * @param customers customers and their weights
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Answers(
        String deployment,
        String region,
        List<FailureDomainAnswer> failureDomains,
        Ports ports,
        @Nullable Integer controlMembers,
        String dataFolder,
        String operatorTokenFile,
        long drainDelayMs,
        List<Versioned> models,
        List<Versioned> services,
        List<CustomerAnswer> customers) {

    static final String DEFAULT_DATA_FOLDER = "/var/lib/jacinthwharf";
    static final String DEFAULT_TOKEN_FILE = "/etc/jacinthwharf/operator-token";

    /** Creates answers from copies of the lists. */
    public Answers {
        failureDomains = ImmutableList.copyOf(failureDomains);
        models = ImmutableList.copyOf(models);
        services = ImmutableList.copyOf(services);
        customers = ImmutableList.copyOf(customers);
    }

    /** A failure domain and its entry VMs. Immutable. */
    public record FailureDomainAnswer(String id, List<VmAnswer> vms) {
        /** Creates an answer from a copy of the list. */
        public FailureDomainAnswer {
            vms = ImmutableList.copyOf(vms);
        }
    }

    /** An entry VM and whether it has a disk. Immutable. */
    public record VmAnswer(String id, String ip, boolean disk) {}

    /** A model or plain service and its first version. Immutable. */
    public record Versioned(String id, String version) {}

    /** A customer and its weight relative to the other customers. Immutable. */
    public record CustomerAnswer(String id, double weight) {}
}
