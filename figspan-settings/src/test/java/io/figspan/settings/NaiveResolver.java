package io.figspan.settings;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reference implementation of the inheritance on the design page: looks up each full path, most specific first. */
final class NaiveResolver {
    /** Explicitly set values by full path, such as {@code organisation.o1.service.s1.kind}. */
    private final Map<String, Object> written = new HashMap<>();

    void write(String table, SettingKey key, Object value) {
        written.put(table + "." + key.path(), value);
    }

    Object value(SettingKey key, String organisation, String service, String place) {
        for (String table : tables(organisation, service, place)) {
            Object value = written.get(table + "." + key.path());
            if (value != null) {
                return value;
            }
        }
        return key.defaultValue();
    }

    SettingsLevel level(SettingKey key, String organisation, String service, String place) {
        List<String> tables = tables(organisation, service, place);
        List<SettingsLevel> levels =
                List.of(SettingsLevel.PLACE, SettingsLevel.SERVICE, SettingsLevel.ORGANISATION, SettingsLevel.FLEET);
        for (int i = 0; i < tables.size(); i++) {
            if (written.containsKey(tables.get(i) + "." + key.path())) {
                return levels.get(i);
            }
        }
        return SettingsLevel.DEFAULT;
    }

    private static List<String> tables(String organisation, String service, String place) {
        String ofOrganisation = "organisation." + organisation;
        String ofService = ofOrganisation + ".service." + service;
        return List.of(ofService + ".place." + place, ofService, ofOrganisation, "fleet");
    }
}
