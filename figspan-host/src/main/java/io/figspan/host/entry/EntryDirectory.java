package io.figspan.host.entry;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.figspan.core.id.HostId;
import io.figspan.core.id.OrganisationId;
import io.figspan.host.HostContext;
import io.figspan.policy.entry.EntryHost;
import io.figspan.policy.entry.EntryList;
import io.figspan.settings.FleetList;
import io.figspan.settings.SettingKey;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The entry hosts that callers are sent to. */
public final class EntryDirectory {
    /** One address of an entry list. */
    record Address(
            @JsonProperty("host") String host,
            @JsonProperty("address") String address,
            @JsonProperty("port") int port,
            @JsonProperty("availabilityZone") String availabilityZone) {}

    /** Answer to {@code GET /v1/hosts}. */
    record Answer(
            @JsonProperty("organisation") String organisation,
            @JsonProperty("hosts") List<Address> hosts,
            @JsonProperty("keepSeconds") int keepSeconds,
            @JsonProperty("settingsVersion") long settingsVersion) {}

    private final HostContext context;
    private final Map<HostId, FleetList.EntryHost> listed = new TreeMap<>();
    private Set<HostId> dead = Set.of();
    private boolean selfLeaving;

    public EntryDirectory(HostContext context) {
        this.context = context;
    }

    /** Takes over the platform's list. */
    public void update(List<FleetList.EntryHost> hosts) {
        listed.clear();
        hosts.forEach(host -> listed.put(host.id(), host));
    }

    /** Takes over which hosts membership has found dead or left; it is newer than the platform's list. */
    public void updateDead(Set<HostId> deadHosts) {
        dead = Set.copyOf(deadHosts);
    }

    /** Takes this host out of the lists that it hands out. */
    public void leave() {
        selfLeaving = true;
    }

    /** The list for an organisation: hosts that are neither leaving nor dead. */
    Answer answer(OrganisationId organisation) {
        List<EntryHost> usable = new ArrayList<>();
        for (FleetList.EntryHost host : listed.values()) {
            boolean out = host.state() == FleetList.LiveState.LEAVING
                    || dead.contains(host.id())
                    || (selfLeaving && host.id().equals(context.config().hostId()));
            if (!out) {
                usable.add(new EntryHost(host.id(), host.availabilityZone()));
            }
        }
        double share = context.tree().resolve(organisation).number(SettingKey.SHARE);
        List<Address> addresses = new ArrayList<>();
        for (EntryHost chosen : EntryList.choose(organisation, share, usable)) {
            FleetList.EntryHost host = listed.get(chosen.host());
            addresses.add(new Address(
                    host.id().value(),
                    host.address(),
                    host.port(),
                    host.availabilityZone().value()));
        }
        return new Answer(
                organisation.value(),
                addresses,
                context.config().keepSeconds(),
                context.settings().version().number());
    }
}
