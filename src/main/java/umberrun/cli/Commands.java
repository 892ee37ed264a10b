package umberrun.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The root of the operators' command line. The {@code serve} command does not load this class, so
 * that starting a front end does not pay for the command-line parser.
 */
@Command(
    name = "umberrun",
    mixinStandardHelpOptions = true,
    description = "A front end for workers that run functions.",
    subcommands = {
      Commands.Serve.class,
      Commands.Benchlink.class,
      Commands.Knowledge.class,
      FleetCommand.class,
      LeaseCommands.Leases.class,
      LeaseCommands.Register.class,
      LeaseCommands.VotersCommand.class,
      WorksCommand.class,
      SimulateCommand.class
    })
public final class Commands implements Runnable {
  @Spec private CommandSpec spec;

  /** Runs the command that the arguments name, and returns its exit status. */
  public static int run(String... args) {
    return new CommandLine(new Commands()).execute(args);
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** Declared only for the help text: {@code Main} starts this command without this class. */
  @Command(
      name = "serve",
      description = "Runs a front end, configured by EDGE_CONFIG and UMBERRUN_OPERATOR.")
  static final class Serve {}

  /** Declared only for the help text: {@code Main} starts this command without this class. */
  @Command(
      name = "benchlink",
      description = "Runs the same dispatching logic on the simulator's protocol.")
  static final class Benchlink {}

  /** Prints the facts that a running instance holds, page by page. */
  @Command(
      name = "knowledge",
      mixinStandardHelpOptions = true,
      description = "Shows the facts that an instance holds, with their source and age.")
  static final class Knowledge implements Callable<Integer> {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

    /** The names of the kinds of fact, by their number in an answer. */
    private static final List<String> KIND_NAMES = List.of("copy", "worker", "function");

    private static final int COPY_KIND = 0;
    private static final int WORKER_KIND = 1;

    /** The index in a fact at which its numeric values begin. */
    private static final int VALUES_START = 5;

    private static final int WORKER_VALUES_END = 7;
    private static final int FUNCTION_VALUES_END = 9;

    @Spec private CommandSpec spec;

    @Parameters(
        paramLabel = "HOST:PORT",
        description = "the learning.listen address of the instance")
    private String address;

    @Option(
        names = "--within",
        paramLabel = "MS",
        description = "show only facts observed within this many milliseconds")
    private Long within;

    @Option(
        names = "--worker",
        paramLabel = "NAME",
        description = "show only facts about this worker")
    private String worker;

    @Override
    public Integer call() throws InterruptedException {
      PrintWriter out = spec.commandLine().getOut();
      long from = 0;
      try {
        while (from >= 0) {
          JsonObject page = fetchPage(from);
          if (from == 0) {
            out.printf(
                "instance %s, up for %d ms, %d facts%n",
                page.get("epoch").getAsString(),
                page.get("uptime_ms").getAsLong(),
                page.get("known").getAsLong());
          }
          page.getAsJsonArray("facts").forEach(fact -> print(out, fact.getAsJsonArray()));
          from = page.get("next").getAsLong();
        }
        out.flush();
        return 0;
      } catch (IOException
          | IllegalArgumentException
          | JsonParseException
          | IllegalStateException e) {
        spec.commandLine()
            .getErr()
            .println("umberrun: " + address + " does not tell: " + e.getMessage());
        return 1;
      }
    }

    private JsonObject fetchPage(long from) throws IOException, InterruptedException {
      HttpResponse<String> response =
          HttpClient.newHttpClient()
              .send(
                  HttpRequest.newBuilder(
                          URI.create(
                              "http://"
                                  + address
                                  + "/v1/knowledge?v=1&from="
                                  + from
                                  + (within == null ? "" : "&within_ms=" + within)))
                      .timeout(REQUEST_TIMEOUT)
                      .build(),
                  HttpResponse.BodyHandlers.ofString());
      if (response.statusCode() != 200) {
        throw new IOException(
            "status "
                + response.statusCode()
                + response
                    .headers()
                    .firstValue("Retry-After")
                    .map(seconds -> ", again in " + seconds + " s")
                    .orElse(""));
      }
      return JsonParser.parseString(response.body()).getAsJsonObject();
    }

    private void print(PrintWriter out, JsonArray fact) {
      String subjectWorker = fact.get(1).getAsString();
      if (worker != null && !worker.equals(subjectWorker)) {
        return;
      }
      int kind = fact.get(0).getAsInt();
      StringBuilder values = new StringBuilder();
      // A fact about a loaded copy has no numeric values.
      if (kind > COPY_KIND) {
        int valuesEnd = kind == WORKER_KIND ? WORKER_VALUES_END : FUNCTION_VALUES_END;
        for (JsonElement value : fact.asList().subList(VALUES_START, valuesEnd)) {
          values.append(String.format(" %.3g", value.getAsDouble()));
        }
      }
      out.printf(
          "%-8s %-16s %-16s %6d ms ago, seen by %s%s%n",
          KIND_NAMES.get(kind),
          subjectWorker.isEmpty() ? "-" : subjectWorker,
          kind == WORKER_KIND ? "-" : fact.get(2).getAsString(),
          fact.get(3).getAsLong(),
          fact.get(4).getAsString(),
          values);
    }
  }
}
