package io.figspan.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.PlaceId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.util.NearestName;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reads part files and merges them to a {@link SettingsTree}. The keys of one node (the fleet, an organisation, a
 * service or a place) stand in one part; only the roster and the models may stand in a part of their own. Each fault is
 * an exception of kind {@link ProblemKind#SETTINGS_INVALID} with the file, line and column as far as they are known.
 */
public final class SettingsTreeReader {
    /** Faults after this number are not listed, which bounds the size of a report. */
    public static final int MAX_FAULTS = 100;

    private static final TomlMapper MAPPER = new TomlMapper();
    private static final String FLEET = "fleet";
    private static final String ORGANISATION = "organisation";

    private final Map<String, TomlIndex> indexes = new HashMap<>();
    private final Map<String, SettingsPart> tableOwners = new HashMap<>();
    private final List<FigspanException> faults = new ArrayList<>();
    private final SettingsNode root = new SettingsNode();

    private SettingsTreeReader() {}

    /**
     * Outcome of reading all parts.
     *
     * @param tree the tree, empty when there is any fault
     * @param faults at most {@link #MAX_FAULTS} faults in the order of the parts
     */
    public record Report(Optional<SettingsTree> tree, List<FigspanException> faults) {}

    /** Reads and merges the parts; throws the first fault. */
    public static SettingsTree read(List<SettingsPart> parts) {
        Report report = check(parts);
        if (!report.faults().isEmpty()) {
            throw report.faults().get(0);
        }
        return report.tree().orElseThrow();
    }

    /** Reads and merges the parts and collects the faults. */
    public static Report check(List<SettingsPart> parts) {
        SettingsTreeReader reader = new SettingsTreeReader();
        parts.forEach(reader::readPart);
        if (reader.faults.isEmpty()) {
            reader.checkWhole();
        }
        Optional<SettingsTree> tree =
                reader.faults.isEmpty() ? Optional.of(new SettingsTree(reader.root)) : Optional.empty();
        return new Report(tree, List.copyOf(reader.faults));
    }

    // --- Tables

    private void readPart(SettingsPart part) {
        JsonNode document = parse(part);
        if (document == null) {
            return;
        }
        for (Map.Entry<String, JsonNode> field : document.properties()) {
            Cursor cursor = new Cursor(part, field.getKey(), field.getKey(), SettingsLevel.FLEET);
            if (!field.getValue().isObject()) {
                fault(cursor, "key '" + field.getKey() + "' stands outside a table" + nearestTable(field.getKey()));
                continue;
            }
            switch (field.getKey()) {
                case FLEET -> readTable(cursor, "", field.getValue(), root);
                case ORGANISATION -> readChildren(cursor, SettingsLevel.ORGANISATION, field.getValue(), root);
                default -> fault(cursor, "unknown table '" + field.getKey() + "'" + nearestTable(field.getKey()));
            }
        }
    }

    private JsonNode parse(SettingsPart part) {
        try {
            return MAPPER.readTree(part.text());
        } catch (JsonProcessingException e) {
            Location location = e.getLocation() == null
                    ? Location.of(part.name())
                    : new Location(
                            part.name(),
                            e.getLocation().getLineNr(),
                            e.getLocation().getColumnNr());
            add(location, "not a TOML document: " + firstLine(e.getOriginalMessage()));
            return null;
        }
    }

    private void readChildren(Cursor parent, SettingsLevel level, JsonNode tables, SettingsNode node) {
        for (Map.Entry<String, JsonNode> field : tables.properties()) {
            String path = TomlIndex.join(parent.path, field.getKey());
            Cursor cursor = new Cursor(parent.part, path, path, level);
            if (!field.getValue().isObject()) {
                fault(cursor, "'" + cursor.path + "' is not a table");
                continue;
            }
            try {
                requireName(level, field.getKey());
            } catch (FigspanException e) {
                fault(cursor, "'" + field.getKey() + "': " + e.detail());
                continue;
            }
            readTable(cursor, "", field.getValue(), node.childForBuilding(field.getKey()));
        }
    }

    private void readTable(Cursor cursor, String prefix, JsonNode table, SettingsNode node) {
        for (Map.Entry<String, JsonNode> field : table.properties()) {
            String keyPath = TomlIndex.join(prefix, field.getKey());
            Cursor at = cursor.below(field.getKey());
            JsonNode value = field.getValue();
            Optional<SettingsLevel> childLevel = childLevel(cursor.level, keyPath);
            if (childLevel.isPresent() && value.isObject()) {
                readChildren(at, childLevel.get(), value, node);
                continue;
            }
            Optional<SettingKey> key = SettingKey.ofPath(keyPath);
            if (key.isPresent()) {
                readValue(at, key.get(), value, node);
                continue;
            }
            if (!isKeyPrefix(keyPath)) {
                fault(at, "unknown key '" + keyPath + "'" + nearestKey(keyPath, cursor.level));
            } else if (value.isObject()) {
                readTable(at, keyPath, value, node);
            } else {
                fault(at, "'" + keyPath + "' is a table of keys, found " + SettingFault.describe(value));
            }
        }
    }

    private void readValue(Cursor at, SettingKey key, JsonNode value, SettingsNode node) {
        if (!key.levels().contains(at.level)) {
            String allowed = String.join(
                    ", ", key.levels().stream().map(SettingsLevel::wireName).toList());
            fault(
                    at,
                    "key '" + key.path() + "' may not stand at level " + at.level.wireName() + ", only at " + allowed);
            return;
        }
        String table = key.type().isTable() ? at.path : at.nodePath;
        SettingsPart owner = tableOwners.putIfAbsent(table, at.part);
        if (owner != null && !owner.name().equals(at.part.name())) {
            fault(at, "table [" + table + "] also stands in part " + owner.name());
            return;
        }
        try {
            node.put(key, key.type().read(value, key));
        } catch (FigspanException e) {
            fault(at, "key '" + key.path() + "': " + e.detail());
        }
    }

    // --- Checks over all parts

    private void checkWhole() {
        SettingsTree tree = new SettingsTree(root);
        Set<String> models = Set.copyOf(
                tree.models().stream().map(model -> model.model().value()).toList());
        checkModel(FLEET, SettingsLevel.FLEET, tree.fleet(), models);
        for (OrganisationId organisation : tree.organisations()) {
            if (faults.size() >= MAX_FAULTS) {
                return;
            }
            String path = ORGANISATION + "." + organisation;
            if (root.child(organisation.value()).values().isEmpty()) {
                faultInMerged(
                        path,
                        "organisation '" + organisation + "' is named but no part sets a key of [" + path + "]"
                                + nearestOrganisation(tree, organisation));
            }
            checkModel(path, SettingsLevel.ORGANISATION, tree.resolve(organisation), models);
            for (ServiceId service : tree.services(organisation)) {
                ResolvedSettings settings = tree.resolve(organisation, service);
                checkModel(path + ".service." + service, SettingsLevel.SERVICE, settings, models);
            }
        }
    }

    private void checkModel(String path, SettingsLevel level, ResolvedSettings settings, Set<String> models) {
        String model = settings.text(SettingKey.MODEL);
        boolean setHere = settings.level(SettingKey.MODEL) == level;
        if (setHere && !model.isEmpty() && !models.contains(model)) {
            String nearest = SettingFault.suggestion(NearestName.suggest(model, models));
            faultInMerged(path + ".model", "model '" + model + "' is not a table of [fleet.models]" + nearest);
        }
    }

    /** Records a fault of the merged tree in the part that holds the table of the path or a table below it. */
    private void faultInMerged(String path, String detail) {
        SettingsPart part = tableOwners.entrySet().stream()
                .filter(entry ->
                        path.startsWith(entry.getKey() + ".") || entry.getKey().startsWith(path + "."))
                .max(Comparator.comparingInt(entry -> entry.getKey().length()))
                .map(Map.Entry::getValue)
                .orElse(new SettingsPart("settings", ""));
        fault(new Cursor(part, path, path, SettingsLevel.FLEET), detail);
    }

    // --- Names

    private static Optional<SettingsLevel> childLevel(SettingsLevel level, String keyPath) {
        if (level == SettingsLevel.ORGANISATION && keyPath.equals("service")) {
            return Optional.of(SettingsLevel.SERVICE);
        }
        if (level == SettingsLevel.SERVICE && keyPath.equals("place")) {
            return Optional.of(SettingsLevel.PLACE);
        }
        return Optional.empty();
    }

    private static void requireName(SettingsLevel level, String name) {
        switch (level) {
            case ORGANISATION -> OrganisationId.of(name);
            case SERVICE -> ServiceId.of(name);
            default -> PlaceId.of(name);
        }
    }

    private static boolean isKeyPrefix(String keyPath) {
        return Arrays.stream(SettingKey.values()).anyMatch(key -> key.path().startsWith(keyPath + "."));
    }

    private static String nearestKey(String keyPath, SettingsLevel level) {
        List<String> known = new ArrayList<>();
        for (SettingKey key : SettingKey.values()) {
            if (key.levels().contains(level)) {
                known.add(key.path());
            }
        }
        return SettingFault.suggestion(NearestName.suggest(keyPath, known));
    }

    private static String nearestTable(String name) {
        return SettingFault.suggestion(NearestName.suggest(name, List.of(FLEET, ORGANISATION)));
    }

    private static String nearestOrganisation(SettingsTree tree, OrganisationId organisation) {
        List<String> known = tree.organisations().stream()
                .filter(other -> !other.equals(organisation))
                .map(OrganisationId::value)
                .toList();
        return SettingFault.suggestion(NearestName.suggest(organisation.value(), known));
    }

    // --- Faults

    /** A place in a part: the path of a key or table, and the path and level of the node that it belongs to. */
    private record Cursor(SettingsPart part, String path, String nodePath, SettingsLevel level) {
        Cursor below(String name) {
            return new Cursor(part, TomlIndex.join(path, name), nodePath, level);
        }
    }

    private void fault(Cursor at, String detail) {
        TomlIndex index = indexes.computeIfAbsent(at.part.name(), name -> new TomlIndex(name, at.part.text()));
        add(index.locate(at.path), detail);
    }

    private void add(Location location, String detail) {
        if (faults.size() < MAX_FAULTS) {
            faults.add(new FigspanException(ProblemKind.SETTINGS_INVALID, detail, location));
        }
    }

    private static String firstLine(String message) {
        return message == null ? "no reason given" : message.lines().findFirst().orElse("no reason given");
    }
}
