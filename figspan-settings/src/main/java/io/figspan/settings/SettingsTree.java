package io.figspan.settings;

import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.PlaceId;
import io.figspan.core.id.ServiceId;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * The immutable tree of settings, with the levels fleet, organisation, service and place. A node inherits the keys that
 * it does not set from its parent. A name that is not in the tree resolves to the settings of the levels above it.
 */
public final class SettingsTree {
    /** The tree of a host that has not adopted any settings yet; every key has its default. */
    public static final SettingsTree EMPTY = new SettingsTree(SettingsNode.EMPTY);

    /** Node of the fleet. The levels below it are organisations, services and places. */
    private final SettingsNode root;

    SettingsTree(SettingsNode root) {
        this.root = root;
    }

    public ResolvedSettings resolve(OrganisationId organisation, ServiceId service, PlaceId place) {
        SettingsNode organisationNode = root.child(organisation.value());
        SettingsNode serviceNode = organisationNode.child(service.value());
        return new ResolvedSettings(root, organisationNode, serviceNode, serviceNode.child(place.value()));
    }

    public ResolvedSettings resolve(OrganisationId organisation, ServiceId service) {
        SettingsNode organisationNode = root.child(organisation.value());
        return new ResolvedSettings(
                root, organisationNode, organisationNode.child(service.value()), SettingsNode.EMPTY);
    }

    public ResolvedSettings resolve(OrganisationId organisation) {
        return new ResolvedSettings(root, root.child(organisation.value()), SettingsNode.EMPTY, SettingsNode.EMPTY);
    }

    /** The effective settings at the fleet level. */
    public ResolvedSettings fleet() {
        return new ResolvedSettings(root, SettingsNode.EMPTY, SettingsNode.EMPTY, SettingsNode.EMPTY);
    }

    /** Roster entries of the entry hosts, ordered by host id. */
    public List<RosterEntry> roster() {
        return fleet().roster();
    }

    /** Models of the fleet, ordered by model id. */
    public List<ModelSetting> models() {
        return fleet().models();
    }

    public boolean hasOrganisation(OrganisationId organisation) {
        return root.children().containsKey(organisation.value());
    }

    public boolean hasService(OrganisationId organisation, ServiceId service) {
        return root.child(organisation.value()).children().containsKey(service.value());
    }

    public SortedSet<OrganisationId> organisations() {
        return names(root.children(), OrganisationId::of);
    }

    public SortedSet<ServiceId> services(OrganisationId organisation) {
        return names(root.child(organisation.value()).children(), ServiceId::of);
    }

    public SortedSet<PlaceId> places(OrganisationId organisation, ServiceId service) {
        return names(root.child(organisation.value()).child(service.value()).children(), PlaceId::of);
    }

    SettingsNode root() {
        return root;
    }

    private static <T> SortedSet<T> names(Map<String, SettingsNode> children, Function<String, T> toId) {
        SortedSet<T> ids = new TreeSet<>();
        children.keySet().forEach(name -> ids.add(toId.apply(name)));
        return ids;
    }
}
