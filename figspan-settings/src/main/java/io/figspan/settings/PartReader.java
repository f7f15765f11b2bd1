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
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parses one part file into a tree of {@link SettingsNode}s and collects the faults. */
final class PartReader {
    private static final TomlMapper MAPPER = new TomlMapper();
    private static final String FLEET = "fleet";
    private static final String ORGANISATION = "organisation";

    private final SettingsPart part;
    private final SettingsNode root = new SettingsNode();
    private final List<FigspanException> faults = new ArrayList<>();
    private TomlLocationIndex index;

    private PartReader(SettingsPart part) {
        this.part = part;
    }

    /** Result of parsing one part. The tree omits the keys and tables that have faults. */
    record ParsedPart(SettingsPart part, SettingsNode root, List<FigspanException> faults) {
        /** Creates a fault located at the dotted path in this part; scans the text of the part on each call. */
        FigspanException fault(String path, String detail) {
            Location location = new TomlLocationIndex(part.name(), part.text()).locate(path);
            return new FigspanException(ProblemKind.SETTINGS_INVALID, detail, location);
        }
    }

    static ParsedPart parse(SettingsPart part) {
        PartReader reader = new PartReader(part);
        reader.readPart();
        return new ParsedPart(part, reader.root, List.copyOf(reader.faults));
    }

    // --- Tables

    private void readPart() {
        JsonNode document = parse();
        if (document == null) {
            return;
        }
        for (Map.Entry<String, JsonNode> field : document.properties()) {
            Cursor cursor = new Cursor(field.getKey(), SettingsLevel.FLEET);
            if (!field.getValue().isObject()) {
                fault(cursor, "key '" + field.getKey() + "' is outside a table" + nearestTable(field.getKey()));
                continue;
            }
            switch (field.getKey()) {
                case FLEET -> readTable(cursor, "", field.getValue(), root);
                case ORGANISATION -> readChildren(cursor, SettingsLevel.ORGANISATION, field.getValue(), root);
                default -> fault(cursor, "unknown table '" + field.getKey() + "'" + nearestTable(field.getKey()));
            }
        }
    }

    private JsonNode parse() {
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
            String path = TomlLocationIndex.join(parent.path, field.getKey());
            Cursor cursor = new Cursor(path, level);
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
            readTable(cursor, "", field.getValue(), node.getOrCreateChild(field.getKey()));
        }
    }

    private void readTable(Cursor cursor, String prefix, JsonNode table, SettingsNode node) {
        for (Map.Entry<String, JsonNode> field : table.properties()) {
            String keyPath = TomlLocationIndex.join(prefix, field.getKey());
            Cursor fieldCursor = cursor.below(field.getKey());
            JsonNode value = field.getValue();
            Optional<SettingsLevel> childLevel = childLevel(cursor.level, keyPath);
            if (childLevel.isPresent() && value.isObject()) {
                readChildren(fieldCursor, childLevel.get(), value, node);
                continue;
            }
            Optional<SettingKey> key = SettingKey.ofPath(keyPath);
            if (key.isPresent()) {
                readValue(fieldCursor, key.get(), value, node);
                continue;
            }
            if (!isKeyPrefix(keyPath)) {
                fault(fieldCursor, "unknown key '" + keyPath + "'" + nearestKey(keyPath, cursor.level));
            } else if (value.isObject()) {
                readTable(fieldCursor, keyPath, value, node);
            } else {
                fault(
                        fieldCursor,
                        "'" + keyPath + "' is a table of keys, found " + InvalidSettingException.describe(value));
            }
        }
    }

    private void readValue(Cursor cursor, SettingKey key, JsonNode value, SettingsNode node) {
        if (!key.levels().contains(cursor.level)) {
            String allowed = String.join(
                    ", ", key.levels().stream().map(SettingsLevel::wireName).toList());
            fault(
                    cursor,
                    "key '" + key.path() + "' may not stand at level " + cursor.level.wireName() + ", only at "
                            + allowed);
            return;
        }
        try {
            node.put(key, key.type().read(value, key));
        } catch (FigspanException e) {
            fault(cursor, "key '" + key.path() + "': " + e.detail());
        }
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
        if (name.contains("/")) {
            throw new InvalidSettingException("the name has a '/', which separates names on the command line");
        }
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
        return InvalidSettingException.suggestion(NearestName.suggest(keyPath, known));
    }

    private static String nearestTable(String name) {
        return InvalidSettingException.suggestion(NearestName.suggest(name, List.of(FLEET, ORGANISATION)));
    }

    // --- Faults

    /** Dotted path of a key or table in the document, and the level of the node to which it belongs. */
    private record Cursor(String path, SettingsLevel level) {
        Cursor below(String name) {
            return new Cursor(TomlLocationIndex.join(path, name), level);
        }
    }

    private void fault(Cursor cursor, String detail) {
        if (index == null) {
            index = new TomlLocationIndex(part.name(), part.text());
        }
        add(index.locate(cursor.path), detail);
    }

    private void add(Location location, String detail) {
        if (faults.size() < SettingsTreeReader.MAX_FAULTS) {
            faults.add(new FigspanException(ProblemKind.SETTINGS_INVALID, detail, location));
        }
    }

    private static String firstLine(String message) {
        return message == null ? "no reason given" : message.lines().findFirst().orElse("no reason given");
    }
}
