package umberrun.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import saddlestall.Dispatcher.Settings;
import saddlestall.benchlink.SettingsJson;
import umberrun.admission.ConnectionLimits;

/**
 * The complete configuration of a front end: the {@code EDGE_*} environment variables, the JSON
 * configuration file that {@code EDGE_CONFIG} names, and the optional operator's file that {@code
 * UMBERRUN_OPERATOR} names.
 *
 * @param name name of this front end, stable across restarts
 * @param listen address for clients of the MessagePack-RPC protocol
 * @param seed seed of the random numbers, new with each start
 * @param sockets number of file descriptors that the process may hold
 * @param memoryMb memory that the process may use, in MiB
 * @param changelog address of the change log, or null if the worker list comes from Consul only
 * @param initialEvents the events of the change log that are known at the start of the process
 * @param settings the settings of the dispatcher
 * @param names the names that the settings define, and the connection settings
 * @param operatorAddress address of the operators' HTTP API, or null if it is disabled
 * @param operatorFile the operator's file, or null if there is none and all optional features are
 *     disabled
 */
public record Config(
    String name,
    SocketAddress listen,
    long seed,
    int sockets,
    int memoryMb,
    SocketAddress changelog,
    JsonObject initialEvents,
    Settings settings,
    SettingNames names,
    SocketAddress operatorAddress,
    OperatorFile operatorFile) {

  /**
   * The names that the settings define, in their order, as the dispatcher refers to them by
   * position only, and the settings of worker connections.
   *
   * @param classes names of the call classes
   * @param tenants names of the tenants
   * @param zones names of the halls
   * @param kinds names of the kinds of workers
   * @param idleCloseMillis time after which an idle worker connection is closed, 0 for no limit
   * @param streamsPerConnection maximum number of concurrent requests on a worker connection,
   *     {@link Integer#MAX_VALUE} for no limit
   * @param preloadTimeoutMillis how long the answer to a preload request is awaited
   */
  public record SettingNames(
      List<String> classes,
      List<String> tenants,
      List<String> zones,
      List<String> kinds,
      long idleCloseMillis,
      int streamsPerConnection,
      long preloadTimeoutMillis) {}

  /** Thrown for a configuration that cannot be served. The message is a single line. */
  public static final class InvalidConfig extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * @param message what is wrong, with the key; whitespace such as line breaks is collapsed
     */
    public InvalidConfig(String message) {
      super(message.replaceAll("\\s+", " "));
    }
  }

  private static final int DEFAULT_SOCKETS = 1024;
  private static final int DEFAULT_MEMORY_MB = 192;

  /** Pending answers to slow clients may use one part in this many of the memory. */
  private static final int ANSWER_MEMORY_DIVISOR = 12;

  /** What was received of clients and is not submitted may use one part in this many. */
  private static final int INPUT_MEMORY_DIVISOR = 24;

  /**
   * Reads the configuration from the environment variables and the files that they name.
   *
   * @param env the environment variables
   */
  public static Config read(Map<String, String> env) throws InvalidConfig {
    String path = env.get("EDGE_CONFIG");
    if (path == null || path.isEmpty()) {
      throw new InvalidConfig("EDGE_CONFIG is not set; it must name the configuration file");
    }
    try {
      JsonObject root = json(path);
      String listen = env.getOrDefault("EDGE_LISTEN", text(root, "listen"));
      String name = env.getOrDefault("EDGE_NAME", text(root, "name"));
      JsonObject settings = object(root, "settings");
      String operatorPath = env.get("UMBERRUN_OPERATOR");
      String operatorAddress = env.getOrDefault("EDGE_OPERATOR", text(root, "operator"));
      String changelog = text(root, "changelog");
      SettingNames names = names(settings);
      OperatorFile operatorFile =
          operatorPath == null || operatorPath.isEmpty()
              ? null
              : OperatorFile.read(json(operatorPath));
      if (changelog.isEmpty() && (operatorFile == null || !operatorFile.listsWorkers())) {
        throw new InvalidConfig(
            "no source of the worker list: neither changelog nor consul.workers is set");
      }
      Config config =
          new Config(
              name,
              address(listen, "listen"),
              seed(text(root, "seed")),
              (int) positive(object(root, "limits"), "sockets", DEFAULT_SOCKETS),
              (int) positive(object(root, "limits"), "memory_mb", DEFAULT_MEMORY_MB),
              changelog.isEmpty() ? null : address(changelog, "changelog"),
              object(root, "known"),
              SettingsJson.read(settings.toString()),
              names,
              operatorAddress.isEmpty() ? null : address(operatorAddress, "operator"),
              operatorFile);
      config.connectionLimits();
      if (operatorFile != null && operatorFile.leases() != null) {
        operatorFile.leases().check(name);
      }
      return config;
    } catch (IllegalStateException
        | NumberFormatException
        | ClassCastException
        | UnsupportedOperationException e) {
      // A field has the wrong type.
      throw new InvalidConfig(path + ": " + e.getMessage());
    }
  }

  /** Creates the limits of the connections that the process may hold. */
  public ConnectionLimits connectionLimits() throws InvalidConfig {
    try {
      return new ConnectionLimits(
          sockets,
          operatorFile != null && operatorFile.invoke() != null,
          operatorAddress != null,
          operatorFile == null
              ? 0
              : (operatorFile.learning() != null ? 1 : 0)
                  + (operatorFile.fleet() != null ? 1 : 0)
                  + (operatorFile.leases() != null ? 1 : 0));
    } catch (ConnectionLimits.TooFewDescriptors e) {
      throw new InvalidConfig(e.getMessage());
    }
  }

  /**
   * Returns an identifier of the deployment, in hexadecimal. It keeps a process from using the
   * handover files of a front end that has the same name but belongs to another deployment. It is
   * derived from all names in the settings and from no number, so that an upgrade may change the
   * numbers.
   */
  public String deployment() {
    CRC32 crc = new CRC32();
    crc.update(
        ("" + names.classes + names.tenants + names.zones + names.kinds)
            .getBytes(StandardCharsets.UTF_8));
    return String.format("%08x", crc.getValue());
  }

  /** Returns how many bytes of answers may be pending for slow clients, in total. */
  public long answerBytes() {
    return ((long) memoryMb << 20) / ANSWER_MEMORY_DIVISOR;
  }

  /** Returns how many bytes received of clients may wait to be submitted, in total. */
  public long inputBytes() {
    return ((long) memoryMb << 20) / INPUT_MEMORY_DIVISOR;
  }

  /**
   * Parses an address of the form host:port.
   *
   * @param field the key of the address, for the error message
   */
  static SocketAddress address(String text, String field) throws InvalidConfig {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port <= 65_535) {
        return SocketAddress.inetSocketAddress(port, text.substring(0, colon));
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    throw new InvalidConfig(field + " is not an address of the form host:port: '" + text + "'");
  }

  private static JsonObject json(String path) throws InvalidConfig {
    try {
      if (JsonParser.parseString(Files.readString(Path.of(path))) instanceof JsonObject object) {
        return object;
      }
      throw new InvalidConfig(path + " does not contain a JSON object");
    } catch (IOException e) {
      throw new InvalidConfig(path + " cannot be read: " + e);
    } catch (JsonParseException e) {
      throw new InvalidConfig(path + " is not valid JSON: " + e.getMessage());
    }
  }

  private static SettingNames names(JsonObject settings) throws InvalidConfig {
    JsonObject limits = object(settings, "Limits");
    SettingNames names =
        new SettingNames(
            list(settings, "Classes"),
            list(settings, "Tenants"),
            list(settings, "Zones"),
            list(settings, "Kinds"),
            positive(limits, "IdleClose", 0),
            (int)
                Math.min(Integer.MAX_VALUE, positive(limits, "StreamsPerConn", Integer.MAX_VALUE)),
            positive(object(settings, "FamilyInfo"), "OrderLimit", longestTimeoutMillis(settings)));
    if (names.classes.isEmpty() || new HashSet<>(names.classes).size() < names.classes.size()) {
      throw new InvalidConfig(
          "settings.Classes must name at least one class, and each class only once");
    }
    return names;
  }

  /**
   * Returns the longest timeout of a class, in milliseconds. A preload that takes longer than that
   * is of no use to any client.
   */
  private static long longestTimeoutMillis(JsonObject settings) {
    long longest = 1;
    if (settings.get("Classes") instanceof JsonArray classes) {
      for (JsonElement callClass : classes) {
        longest = Math.max(longest, positive(callClass.getAsJsonObject(), "GiveUp", 1));
      }
    }
    return longest;
  }

  /** Returns the names in an array of strings or of objects with the field {@code Name}. */
  private static List<String> list(JsonObject settings, String key) {
    List<String> names = new ArrayList<>();
    if (settings.get(key) instanceof JsonArray array) {
      for (JsonElement e : array) {
        names.add(e instanceof JsonObject o ? text(o, "Name") : e.getAsString());
      }
    }
    return List.copyOf(names);
  }

  private static long seed(String hex) {
    return hex.isEmpty() ? System.nanoTime() : Long.parseUnsignedLong(hex, 16);
  }

  /** Returns a number, or {@code defaultValue} if it is absent or not above 0. */
  private static long positive(JsonObject o, String key, long defaultValue) {
    JsonElement e = o.get(key);
    long value = e == null || e.isJsonNull() ? 0 : Math.round(e.getAsDouble());
    return value > 0 ? value : defaultValue;
  }

  /** Returns an object, empty if it is absent. */
  private static JsonObject object(JsonObject o, String key) {
    return o.get(key) instanceof JsonObject x ? x : new JsonObject();
  }

  /** Returns a string, empty if it is absent. */
  private static String text(JsonObject o, String key) {
    JsonElement e = o.get(key);
    return e == null || e.isJsonNull() ? "" : e.getAsString();
  }
}
