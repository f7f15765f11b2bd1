package io.figspan.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.PlaceId;
import io.figspan.core.id.ServiceId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against inheritance that skips a level, mixes up tables or depends on how the tree is split into parts. */
class ResolutionProperties {
    private static final List<String> NAMES = List.of("a", "b", "c.d");

    @Property(tries = 300, seed = "11")
    void resolutionAgreesWithTheNaiveResolver(@ForAll long seed) {
        Random random = new Random(seed);
        NaiveResolver naive = new NaiveResolver();
        SettingsTree tree = SettingsTreeReader.read(writeTree(random, naive));
        for (String organisation : NAMES) {
            for (String service : NAMES) {
                for (String place : NAMES) {
                    compare(tree, naive, organisation, service, place);
                }
            }
        }
    }

    private static void compare(
            SettingsTree tree, NaiveResolver naive, String organisation, String service, String place) {
        ResolvedSettings resolved =
                tree.resolve(OrganisationId.of(organisation), ServiceId.of(service), PlaceId.of(place));
        for (SettingKey key : SettingKey.values()) {
            assertEquals(naive.value(key, organisation, service, place), resolved.value(key), key::path);
            assertEquals(naive.level(key, organisation, service, place), resolved.level(key), key::path);
        }
    }

    /** Sets random keys in random tables, in the naive resolver too, and distributes the tables over three parts. */
    private static List<SettingsPart> writeTree(Random random, NaiveResolver naive) {
        Map<String, List<String>> partTexts = new LinkedHashMap<>();
        for (Table table : tables()) {
            List<String> lines = new ArrayList<>();
            lines.add(table.header());
            boolean declares = table.level() == SettingsLevel.ORGANISATION;
            if (declares) {
                lines.add("share = 0.25");
                naive.write(table.path(), SettingKey.SHARE, 0.25);
            }
            for (SettingKey key : SettingKey.values()) {
                boolean allowed = key.levels().contains(table.level()) && key != SettingKey.SHARE;
                if (allowed && random.nextInt(4) == 0) {
                    writeValue(random, naive, table, key, lines);
                }
            }
            partTexts
                    .computeIfAbsent("part" + random.nextInt(3), unused -> new ArrayList<>())
                    .addAll(lines);
        }
        return partTexts.entrySet().stream()
                .map(entry -> new SettingsPart(entry.getKey(), String.join("\n", entry.getValue())))
                .toList();
    }

    private static void writeValue(
            Random random, NaiveResolver naive, Table table, SettingKey key, List<String> lines) {
        Object value = randomValue(random, key);
        if (value == null) {
            return;
        }
        boolean quoted = value instanceof String || value instanceof Secret;
        String text = value instanceof Secret secret ? secret.text() : value.toString();
        lines.add(key.path() + " = " + (quoted ? "\"" + text + "\"" : text));
        naive.write(table.path(), key, value);
    }

    private static Object randomValue(Random random, SettingKey key) {
        return switch (key.type()) {
            case CHOICE -> key.choices().get(random.nextInt(key.choices().size()));
            case FLAG -> random.nextBoolean();
            case INTEGER -> random.nextLong((long) key.minimum(), (long) key.maximum() + 1);
            case NUMBER -> random.nextDouble(key.minimum(), key.maximum());
            case SECRET -> new Secret("0123456789abcdef0123456789abcdef" + random.nextInt(10));
            case TEXT, ROSTER, MODELS -> null;
        };
    }

    private record Table(SettingsLevel level, String path, String header) {}

    private static List<Table> tables() {
        List<Table> tables = new ArrayList<>();
        tables.add(new Table(SettingsLevel.FLEET, "fleet", "[fleet]"));
        for (String organisation : List.of("a", "c.d")) {
            String path = "organisation." + organisation;
            String header = "organisation.\"" + organisation + "\"";
            tables.add(new Table(SettingsLevel.ORGANISATION, path, "[" + header + "]"));
            for (String service : List.of("b", "c.d")) {
                String servicePath = path + ".service." + service;
                String serviceHeader = header + ".service.\"" + service + "\"";
                tables.add(new Table(SettingsLevel.SERVICE, servicePath, "[" + serviceHeader + "]"));
                tables.add(new Table(SettingsLevel.PLACE, servicePath + ".place.a", "[" + serviceHeader + ".place.a]"));
            }
        }
        return tables;
    }
}
