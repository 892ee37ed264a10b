package umberrun.roll;

import com.google.gson.JsonObject;
import java.util.List;

/** Fields that may be absent, and names that settings give a position. */
final class Json {
  private Json() { }

  static String text(JsonObject o, String key) {
    return o.has(key) && !o.get(key).isJsonNull() ? o.get(key).getAsString() : "";
  }

  static double number(JsonObject o, String key) {
    return o.has(key) && !o.get(key).isJsonNull() ? o.get(key).getAsDouble() : 0;
  }

  static JsonObject object(JsonObject o, String key) {
    return o.get(key) instanceof JsonObject x ? x : new JsonObject();
  }

  /** Unknown names share a place of their own, behind all known ones. */
  static int place(List<String> names, String name) {
    int at = names.indexOf(name);
    return at < 0 ? names.size() : at;
  }
}
