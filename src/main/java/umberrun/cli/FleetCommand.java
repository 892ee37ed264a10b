package umberrun.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import umberrun.fleet.net.FleetClient;
import umberrun.fleet.net.FleetCodec.Frame;

/** Prints the members of the fleet as one member sees them. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description = "Shows the members of the fleet as one member sees them.",
    subcommands = FleetCommand.Leave.class)
final class FleetCommand implements Callable<Integer> {
  /** The fleet member that a command sends its request to. */
  static final class Member {
    @Parameters(
        paramLabel = "HOST:PORT",
        arity = "0..1",
        description = "the fleet.listen address of a member")
    private String address;

    /** Sends a request without arguments and returns the answer. */
    JsonObject ask(Frame.Kind kind) throws IOException {
      return ask(kind, "");
    }

    /**
     * Calls a topic that the member serves on its fleet listener.
     *
     * @param words the topic and the arguments, separated by spaces
     * @throws IOException if the member can't be reached, or answers with a fault
     */
    JsonObject call(String words) throws IOException {
      JsonObject answer = ask(Frame.Kind.CALL, words);
      if (answer.has("fault")) {
        throw new IOException(answer.get("fault").getAsString());
      }
      return answer;
    }

    private JsonObject ask(Frame.Kind kind, String words) throws IOException {
      int colon = address == null ? -1 : address.lastIndexOf(':');
      if (colon <= 0) {
        throw new IOException("an address of the form host:port is needed");
      }
      try {
        return JsonParser.parseString(
                FleetClient.ask(
                    address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1)),
                    kind,
                    words))
            .getAsJsonObject();
      } catch (IllegalArgumentException | IllegalStateException | JsonParseException e) {
        throw new IOException(e.getMessage(), e);
      }
    }

    /** Reports a failed request on the error stream and returns the exit status 1. */
    int reportFailure(CommandSpec spec, IOException e) {
      spec.commandLine()
          .getErr()
          .println("umberrun: " + address + " does not tell: " + e.getMessage());
      return 1;
    }
  }

  private static final long WATCH_INTERVAL_MILLIS = 1_000;

  private static final double MILLIS_PER_SECOND = 1e3;

  @Spec private CommandSpec spec;

  @Mixin private Member member;

  @Option(names = "--json", description = "print the answer as JSON")
  private boolean json;

  @Option(names = "--watch", description = "repeat every second until the member no longer answers")
  private boolean watch;

  @Override
  public Integer call() throws InterruptedException {
    PrintWriter out = spec.commandLine().getOut();
    try {
      do {
        JsonObject view = member.ask(Frame.Kind.VIEW);
        if (!view.has("members")) {
          throw new IOException("it has not begun");
        }
        if (json) {
          out.println(view);
        } else {
          print(out, view);
        }
        out.flush();
        if (watch) {
          Thread.sleep(WATCH_INTERVAL_MILLIS);
        }
      } while (watch);
      return 0;
    } catch (IOException e) {
      return member.reportFailure(spec, e);
    }
  }

  private static void print(PrintWriter out, JsonObject view) {
    out.printf(
        "fleet %s as %s sees it: counted %.0f, divides by %.2f, doubts itself %d of 8%s%n",
        view.get("fleet").getAsString(),
        view.get("member").getAsString(),
        view.get("counted").getAsDouble(),
        view.get("divisor").getAsDouble(),
        view.get("doubts").getAsInt(),
        view.get("yielded").getAsBoolean() ? ", has YIELDED its name to another process" : "");
    out.printf(
        "%-20s %-10s %-8s %-9s %9s %9s %8s %-21s %s%n",
        "member",
        "hall",
        "status",
        "state",
        "since s",
        "heard s",
        "trip us",
        "address",
        "suspected by");
    List<JsonObject> members = new ArrayList<>();
    view.getAsJsonArray("members").forEach(m -> members.add(m.getAsJsonObject()));
    members.sort(Comparator.comparing(m -> text(m, "name")));
    for (JsonObject entry : members) {
      out.printf(
          "%-20s %-10s %-8s %-9s %9s %9s %8s %-21s %s%n",
          text(entry, "name"),
          text(entry, "hall"),
          text(entry, "status"),
          text(entry, "state"),
          seconds(entry, "since_ms"),
          seconds(entry, "heard_ms"),
          text(entry, "round_trip_us"),
          text(entry, "address"),
          entry.has("suspected_by")
              ? StreamSupport.stream(entry.getAsJsonArray("suspected_by").spliterator(), false)
                  .map(JsonElement::getAsString)
                  .collect(Collectors.joining(" "))
              : "");
    }
  }

  /** The value of a field as text, or {@code -} where the object lacks it. */
  static String text(JsonObject object, String key) {
    return object.has(key) ? object.get(key).getAsString() : "-";
  }

  /**
   * A field in milliseconds as seconds with one decimal, or {@code -} where it is negative or the
   * object lacks it.
   */
  static String seconds(JsonObject object, String key) {
    return object.has(key) && object.get(key).getAsLong() >= 0
        ? String.format("%.1f", object.get(key).getAsLong() / MILLIS_PER_SECOND)
        : "-";
  }

  /** Makes a member leave the fleet. It goes on serving calls. */
  @Command(
      name = "leave",
      mixinStandardHelpOptions = true,
      description =
          "Makes a member leave the fleet. It goes on serving calls, and rejoins when it next starts.")
  static final class Leave implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Mixin private Member member;

    @Override
    public Integer call() {
      try {
        boolean left = member.ask(Frame.Kind.LEAVE).get("left").getAsBoolean();
        spec.commandLine().getOut().println(left ? "left" : "had left before");
        return 0;
      } catch (IOException e) {
        return member.reportFailure(spec, e);
      }
    }
  }
}
