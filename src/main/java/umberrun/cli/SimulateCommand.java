package umberrun.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;
import umberrun.fleet.Membership;
import umberrun.fleet.MembershipSettings;
import umberrun.fleet.net.FleetCodec;
import umberrun.fleet.sim.FleetSimulation;

/** Tries the parts that front ends share on a virtual clock and network. */
@Command(
    name = "simulate",
    mixinStandardHelpOptions = true,
    subcommands = SimulateCommand.Fleet.class,
    description = "Tries what front ends settle among themselves on a virtual clock and network.")
final class SimulateCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "what to simulate is missing");
  }

  /** A time with its unit, in microseconds. */
  static final class Micros implements ITypeConverter<Long> {
    private static final Pattern FORM = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m)");

    @Override
    public Long convert(String text) {
      Matcher m = FORM.matcher(text);
      if (!m.matches()) {
        throw new TypeConversionException("'" + text + "' is not a time such as 200ms, 5s or 1m");
      }
      double unit =
          switch (m.group(2)) {
            case "ms" -> 1e3;
            case "s" -> 1e6;
            default -> 60e6;
          };
      return (long) (Double.parseDouble(m.group(1)) * unit);
    }
  }

  /** The view of the fleet: joins, deaths, cuts and pauses at a size that sockets do not reach. */
  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description =
          "Joining, a third killed, a cut, a pause: times to detect and to settle, accusations and cost.")
  static final class Fleet implements Callable<Integer> {
    private static final long MOST_SETTLE = 600 * MembershipSettings.SECOND;

    @Spec private CommandSpec spec;

    @Option(
        names = "--members",
        defaultValue = "100",
        description = "how many (default ${DEFAULT-VALUE})")
    private int members;

    @Option(
        names = "--loss",
        defaultValue = "0",
        description = "of the datagrams, the part that is lost")
    private double loss;

    @Option(
        names = "--duplicates",
        defaultValue = "0.01",
        description = "the part that comes twice")
    private double duplicates;

    @Option(
        names = "--delay",
        defaultValue = "20ms",
        converter = Micros.class,
        description = "the longest, one way; " + "unequal delays reorder")
    private long delay;

    @Option(
        names = "--cut",
        defaultValue = "5s",
        converter = Micros.class,
        description = "how long halves are cut off")
    private long cut;

    @Option(names = "--one-way", description = "the cut is one way only")
    private boolean oneWay;

    @Option(
        names = "--pause",
        defaultValue = "30s",
        converter = Micros.class,
        description = "how long one stands still")
    private long pause;

    @Option(
        names = "--quiet",
        defaultValue = "60s",
        converter = Micros.class,
        description = "how long nothing happens, " + "to count wrong accusations and cost")
    private long quiet;

    @Option(
        names = "--interval",
        defaultValue = "500ms",
        converter = Micros.class,
        description = "between probes")
    private long interval;

    @Option(
        names = "--timeout",
        defaultValue = "200ms",
        converter = Micros.class,
        description = "of a probe")
    private long timeout;

    @Option(names = "--no-doubts", description = "without local health, to see what it is worth")
    private boolean noDoubts;

    @Option(
        names = "--slow",
        description = "one member's timers come late by this",
        converter = Micros.class,
        defaultValue = "0ms")
    private long slow;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "the same seed plays the same again")
    private long seed;

    @Option(names = "--csv", description = "a file for the figures")
    private Path csv;

    @Option(names = "--plot", description = "a PNG file for how the views come to agree")
    private Path plot;

    private final List<String[]> figures = new ArrayList<>();
    private final List<Double> times = new ArrayList<>();
    private final List<Double> seen = new ArrayList<>();
    private FleetSimulation trial;

    @Override
    public Integer call() throws IOException {
      if (members < 2
          || members > 4_000
          || loss < 0
          || loss >= 1
          || interval <= 0
          || timeout <= 0) {
        throw new ParameterException(
            spec.commandLine(), "2 to 4000 members, a loss from 0 to below 1, times above 0");
      }
      MembershipSettings usual = FleetSimulation.settings(members);
      trial =
          new FleetSimulation(
              members,
              new MembershipSettings(
                  usual.fleet(),
                  usual.seeds(),
                  interval,
                  timeout,
                  usual.exchangeInterval(),
                  usual.reconnectInterval(),
                  usual.deadConfirmation(),
                  usual.deadRetention(),
                  usual.propagationTime(),
                  2 * members,
                  members,
                  !noDoubts),
              seed,
              Membership::new);
      trial.unchecked();
      trial.net().setLinks(loss, duplicates, Math.min(200, delay), delay);
      say("joined, s", settled(() -> {}));
      quiet();
      settledAfterDeaths();
      say("a third back, s", settled(() -> each(0, 3, trial::start)));
      say(
          "after the cut, s",
          settled(
              () -> {
                if (oneWay) {
                  each(0, 2, a -> each(1, 2, b -> trial.net().cut(a, b)));
                } else {
                  trial.cut(i -> i % 2);
                }
                run(cut);
                trial.net().healAll();
              }));
      say(
          "after the pause, s",
          settled(
              () -> {
                trial.net().pause(members - 1);
                run(pause);
                trial.net().resume(members - 1);
              }));
      print();
      return 0;
    }

    private interface Act {
      void on(int member);
    }

    private void each(int from, int step, Act act) {
      for (int i = from; i < members; i += step) {
        act.on(i);
      }
    }

    private void run(long span) {
      for (long end = trial.net().now() + span; trial.net().now() < end; ) {
        trial.net().run(Math.min(end, trial.net().now() + MembershipSettings.SECOND / 4));
        double sum = 0;
        int living = 0;
        for (int i = 0; i < members; i++) {
          if (trial.lives(i)) {
            sum += trial.process(i).livingCount() + 1;
            living++;
          }
        }
        times.add(trial.net().now() / 1e6);
        seen.add(sum / Math.max(1, living));
      }
    }

    /**
     * How long all take to agree after something, in seconds; with loss a suspicion under way is no
     * disagreement.
     */
    private double settled(Runnable first) {
      first.run();
      long begun = trial.net().now();
      while (trial.net().now() - begun < MOST_SETTLE
          && !(loss == 0 ? trial.isSettled() : trial.countsRight())) {
        run(MembershipSettings.SECOND / 4);
      }
      return trial.net().now() - begun < MOST_SETTLE
          ? (trial.net().now() - begun) / 1e6
          : Double.NaN;
    }

    private void quiet() {
      trial.slow(slow > 0 ? 0 : -1, slow);
      long packets = trial.packets();
      long wrong = trial.wrongSuspicions();
      long dead = trial.wrongDeaths();
      FleetCodec codec = new FleetCodec(FleetSimulation.settings(members).fleet());
      trial.measure(m -> codec.encode(m).length);
      long bytes = trial.bytes();
      run(quiet);
      double seconds = quiet / 1e6;
      say("packets a member and second", (trial.packets() - packets) / seconds / members);
      say("bytes a member and second", (trial.bytes() - bytes) / seconds / members);
      say(
          "wrong accusations a member and hour",
          (trial.wrongSuspicions() - wrong) / seconds / members * 3_600);
      say(
          "wrong deaths a member and hour",
          (trial.wrongDeaths() - dead) / seconds / members * 3_600);
      trial.measure(null);
      trial.slow(-1, 0);
    }

    private void settledAfterDeaths() {
      double settled = settled(() -> each(0, 3, trial::kill));
      Histogram h = new Histogram(3);
      trial.detected().forEach(t -> h.recordValue(t / 1_000));
      say("a third killed: held dead, median, s", h.getValueAtPercentile(50) / 1e3);
      say("a third killed: held dead, 99th, s", h.getValueAtPercentile(99) / 1e3);
      say("a third killed: all agree, s", settled);
    }

    private void say(String what, double value) {
      figures.add(new String[] {what, String.format("%.3f", value)});
    }

    private void print() throws IOException {
      PrintWriter out = spec.commandLine().getOut();
      out.printf("%d members, loss %.2f, seed %d%n", members, loss, seed);
      figures.forEach(f -> out.printf("%-42s %12s%n", f[0], f[1]));
      out.flush();
      if (csv != null) {
        StringBuilder text = new StringBuilder("members,loss,seed,figure,value\n");
        figures.forEach(
            f ->
                text.append(members)
                    .append(',')
                    .append(loss)
                    .append(',')
                    .append(seed)
                    .append(",\"")
                    .append(f[0])
                    .append("\",")
                    .append(f[1])
                    .append('\n'));
        Files.writeString(csv, text);
      }
      if (plot != null) {
        System.setProperty("java.awt.headless", "true");
        XYChart chart =
            new XYChartBuilder()
                .width(900)
                .height(400)
                .title(members + " members, seed " + seed)
                .xAxisTitle("virtual time, s")
                .yAxisTitle("members held living, mean over the living")
                .build();
        chart.addSeries("held living", times, seen).setMarker(SeriesMarkers.NONE);
        BitmapEncoder.saveBitmap(chart, plot.toString(), BitmapEncoder.BitmapFormat.PNG);
      }
    }
  }
}
