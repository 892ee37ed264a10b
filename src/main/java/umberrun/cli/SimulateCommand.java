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

/** Simulates the protocols between front ends on a virtual clock and network. */
@Command(
    name = "simulate",
    mixinStandardHelpOptions = true,
    subcommands = SimulateCommand.Fleet.class,
    description = "Simulates the protocols between front ends on a virtual clock and network.")
final class SimulateCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "what to simulate is missing");
  }

  /** Converts a duration with a unit, such as {@code 200ms}, to microseconds. */
  static final class Micros implements ITypeConverter<Long> {
    private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)(ms|s|m)");

    @Override
    public Long convert(String text) {
      Matcher matcher = DURATION.matcher(text);
      if (!matcher.matches()) {
        throw new TypeConversionException("'" + text + "' is not a time such as 200ms, 5s or 1m");
      }
      double unitMicros =
          switch (matcher.group(2)) {
            case "ms" -> 1e3;
            case "s" -> 1e6;
            default -> 60e6;
          };
      return (long) (Double.parseDouble(matcher.group(1)) * unitMicros);
    }
  }

  /**
   * Simulates fleet membership through joins, crashes, a network partition and a pause, at fleet
   * sizes that are out of reach with real sockets.
   */
  @Command(
      name = "fleet",
      mixinStandardHelpOptions = true,
      description =
          "Simulates joins, the crash of a third of the members, a network partition and a pause; reports detection and convergence times, wrong accusations and network cost.")
  static final class Fleet implements Callable<Integer> {
    private static final int MIN_MEMBERS = 2;
    private static final int MAX_MEMBERS = 4_000;

    /** After this long without convergence the result is reported as not a number. */
    private static final long MAX_CONVERGENCE_MICROS = 600 * MembershipSettings.SECOND;

    /** The interval at which convergence is checked and the views are sampled for the plot. */
    private static final long SAMPLE_INTERVAL_MICROS = MembershipSettings.SECOND / 4;

    /** The shortest one-way delay of a datagram, unless {@code --delay} is shorter. */
    private static final long MIN_DELAY_MICROS = 200;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final int SECONDS_PER_HOUR = 3_600;

    /** One in this many members is killed and started again. */
    private static final int KILL_STEP = 3;

    /** Passed to {@link FleetSimulation#setSlowNode} if no member is to be slow. */
    private static final int NO_MEMBER = -1;

    @Spec private CommandSpec spec;

    @Option(
        names = "--members",
        defaultValue = "100",
        description = "number of members (default ${DEFAULT-VALUE})")
    private int members;

    @Option(
        names = "--loss",
        defaultValue = "0",
        description = "share of the datagrams that is lost")
    private double loss;

    @Option(
        names = "--duplicates",
        defaultValue = "0.01",
        description = "share of the datagrams that arrives twice")
    private double duplicates;

    @Option(
        names = "--delay",
        defaultValue = "20ms",
        converter = Micros.class,
        description = "longest one-way delay of a datagram; unequal delays reorder datagrams")
    private long delay;

    @Option(
        names = "--cut",
        defaultValue = "5s",
        converter = Micros.class,
        description = "how long the two halves of the fleet are partitioned")
    private long cut;

    @Option(names = "--one-way", description = "partition in one direction only")
    private boolean oneWay;

    @Option(
        names = "--pause",
        defaultValue = "30s",
        converter = Micros.class,
        description = "how long one member is paused")
    private long pause;

    @Option(
        names = "--quiet",
        defaultValue = "60s",
        converter = Micros.class,
        description = "how long to run without faults, to count wrong accusations and network cost")
    private long quiet;

    @Option(
        names = "--interval",
        defaultValue = "500ms",
        converter = Micros.class,
        description = "time between the probes of a member")
    private long interval;

    @Option(
        names = "--timeout",
        defaultValue = "200ms",
        converter = Micros.class,
        description = "timeout of a probe")
    private long timeout;

    @Option(names = "--no-doubts", description = "turn local health off, to measure its effect")
    private boolean withoutLocalHealth;

    @Option(
        names = "--slow",
        description = "delay of the timers of one member",
        converter = Micros.class,
        defaultValue = "0ms")
    private long slow;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "seed of the random numbers; the same seed repeats the same run")
    private long seed;

    @Option(names = "--csv", description = "file to write the results to, as CSV")
    private Path csv;

    @Option(names = "--plot", description = "PNG file to plot the convergence of the views to")
    private Path plot;

    /** The name and the formatted value of each result. */
    private final List<String[]> results = new ArrayList<>();

    /** The times of the samples for the plot, in seconds of virtual time. */
    private final List<Double> sampleTimes = new ArrayList<>();

    /** The mean number of members that the living members consider alive, at each sample. */
    private final List<Double> meanLivingCounts = new ArrayList<>();

    private FleetSimulation simulation;

    @Override
    public Integer call() throws IOException {
      if (members < MIN_MEMBERS
          || members > MAX_MEMBERS
          || loss < 0
          || loss >= 1
          || interval <= 0
          || timeout <= 0) {
        throw new ParameterException(
            spec.commandLine(), "2 to 4000 members, a loss from 0 to below 1, times above 0");
      }
      MembershipSettings defaults = FleetSimulation.settings(members);
      simulation =
          new FleetSimulation(
              members,
              new MembershipSettings(
                  defaults.fleet(),
                  defaults.seeds(),
                  interval,
                  timeout,
                  defaults.exchangeInterval(),
                  defaults.reconnectInterval(),
                  defaults.deadConfirmation(),
                  defaults.deadRetention(),
                  defaults.propagationTime(),
                  2 * members,
                  members,
                  !withoutLocalHealth),
              seed,
              Membership::new);
      simulation.disableChecks();
      simulation.net().setLinks(loss, duplicates, Math.min(MIN_DELAY_MICROS, delay), delay);
      addResult("joined, s", convergenceSeconds(() -> {}));
      measureWithoutFaults();
      measureCrashes();
      addResult(
          "a third back, s",
          convergenceSeconds(() -> forEachMember(0, KILL_STEP, simulation::start)));
      addResult(
          "after the cut, s",
          convergenceSeconds(
              () -> {
                if (oneWay) {
                  forEachMember(
                      0, 2, from -> forEachMember(1, 2, to -> simulation.net().cut(from, to)));
                } else {
                  simulation.cut(i -> i % 2);
                }
                run(cut);
                simulation.net().healAll();
              }));
      addResult(
          "after the pause, s",
          convergenceSeconds(
              () -> {
                simulation.net().pause(members - 1);
                run(pause);
                simulation.net().resume(members - 1);
              }));
      print();
      return 0;
    }

    private interface MemberAction {
      void run(int member);
    }

    /** Runs an action for every {@code step}th member, from number {@code from} on. */
    private void forEachMember(int from, int step, MemberAction action) {
      for (int i = from; i < members; i += step) {
        action.run(i);
      }
    }

    /** Runs the simulation for a span in microseconds, and samples the views as it goes. */
    private void run(long span) {
      for (long end = simulation.net().now() + span; simulation.net().now() < end; ) {
        simulation.net().run(Math.min(end, simulation.net().now() + SAMPLE_INTERVAL_MICROS));
        double livingCountSum = 0;
        int living = 0;
        for (int i = 0; i < members; i++) {
          if (simulation.isRunning(i)) {
            livingCountSum += simulation.process(i).livingCount() + 1;
            living++;
          }
        }
        sampleTimes.add(simulation.net().now() / MICROS_PER_SECOND);
        meanLivingCounts.add(livingCountSum / Math.max(1, living));
      }
    }

    /**
     * Runs an event and then the simulation until the views of all members agree. With loss, a
     * suspicion that is still open does not count as a disagreement.
     *
     * @return the time from the end of the event to agreement, in seconds; NaN if the views did not
     *     agree in time
     */
    private double convergenceSeconds(Runnable event) {
      event.run();
      long start = simulation.net().now();
      while (simulation.net().now() - start < MAX_CONVERGENCE_MICROS
          && !(loss == 0 ? simulation.isSettled() : simulation.hasCorrectCounts())) {
        run(SAMPLE_INTERVAL_MICROS);
      }
      return simulation.net().now() - start < MAX_CONVERGENCE_MICROS
          ? (simulation.net().now() - start) / MICROS_PER_SECOND
          : Double.NaN;
    }

    /** Runs without faults, and records network cost and wrong accusations. */
    private void measureWithoutFaults() {
      simulation.setSlowNode(slow > 0 ? 0 : NO_MEMBER, slow);
      long packets = simulation.packets();
      long wrongSuspicions = simulation.falseSuspicions();
      long wrongDeaths = simulation.falseDeaths();
      FleetCodec codec = new FleetCodec(FleetSimulation.settings(members).fleet());
      simulation.setMessageSizer(message -> codec.encode(message).length);
      long bytes = simulation.bytes();
      run(quiet);
      double seconds = quiet / MICROS_PER_SECOND;
      addResult(
          "packets a member and second", (simulation.packets() - packets) / seconds / members);
      addResult("bytes a member and second", (simulation.bytes() - bytes) / seconds / members);
      addResult(
          "wrong accusations a member and hour",
          (simulation.falseSuspicions() - wrongSuspicions) / seconds / members * SECONDS_PER_HOUR);
      addResult(
          "wrong deaths a member and hour",
          (simulation.falseDeaths() - wrongDeaths) / seconds / members * SECONDS_PER_HOUR);
      simulation.setMessageSizer(null);
      simulation.setSlowNode(NO_MEMBER, 0);
    }

    /** Kills a third of the members and records the detection and convergence times. */
    private void measureCrashes() {
      double convergence = convergenceSeconds(() -> forEachMember(0, KILL_STEP, simulation::kill));
      Histogram detectionMillis = new Histogram(3);
      simulation
          .detectionTimes()
          .forEach(micros -> detectionMillis.recordValue(micros / MICROS_PER_MILLI));
      addResult(
          "a third killed: held dead, median, s",
          detectionMillis.getValueAtPercentile(50) / MILLIS_PER_SECOND);
      addResult(
          "a third killed: held dead, 99th, s",
          detectionMillis.getValueAtPercentile(99) / MILLIS_PER_SECOND);
      addResult("a third killed: all agree, s", convergence);
    }

    /** Adds one result to print, under its name. */
    private void addResult(String name, double value) {
      results.add(new String[] {name, String.format("%.3f", value)});
    }

    private void print() throws IOException {
      PrintWriter out = spec.commandLine().getOut();
      out.printf("%d members, loss %.2f, seed %d%n", members, loss, seed);
      results.forEach(result -> out.printf("%-42s %12s%n", result[0], result[1]));
      out.flush();
      if (csv != null) {
        StringBuilder text = new StringBuilder("members,loss,seed,figure,value\n");
        results.forEach(
            result ->
                text.append(members)
                    .append(',')
                    .append(loss)
                    .append(',')
                    .append(seed)
                    .append(",\"")
                    .append(result[0])
                    .append("\",")
                    .append(result[1])
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
        chart.addSeries("held living", sampleTimes, meanLivingCounts).setMarker(SeriesMarkers.NONE);
        BitmapEncoder.saveBitmap(chart, plot.toString(), BitmapEncoder.BitmapFormat.PNG);
      }
    }
  }
}
