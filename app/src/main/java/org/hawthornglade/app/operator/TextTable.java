package org.hawthornglade.app.operator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** A plain-text table with a header row and aligned columns. */
final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... header) {
        rows.add(List.of(header));
    }

    void addRow(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(cell == null ? "-" : cell.toString());
        }
        rows.add(row);
    }

    /** Prints the table; prints nothing if it has no rows below the header. */
    void print(String title, PrintStream out) {
        if (rows.size() == 1) {
            return;
        }
        out.println();
        out.println(title);
        int[] widths = widths();
        for (List<String> row : rows) {
            out.println(formatRow(row, widths));
        }
    }

    private int[] widths() {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        return widths;
    }

    private static String formatRow(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.size(); i++) {
            line.append(GAP)
                    .append(row.get(i))
                    .append(" ".repeat(widths[i] - row.get(i).length()));
        }
        return line.toString().stripTrailing();
    }
}
