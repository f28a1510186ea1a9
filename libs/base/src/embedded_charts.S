// Embeds the state charts in the binary. Each chart is delimited by a pair of symbols that embedded_charts.cpp declares.

    .section .rodata

    .global ibislock_chart_activation
    .global ibislock_chart_activation_end
ibislock_chart_activation:
    .incbin "activation.chart"
ibislock_chart_activation_end:

    .global ibislock_chart_drain
    .global ibislock_chart_drain_end
ibislock_chart_drain:
    .incbin "drain.chart"
ibislock_chart_drain_end:

    .global ibislock_chart_lease
    .global ibislock_chart_lease_end
ibislock_chart_lease:
    .incbin "lease.chart"
ibislock_chart_lease_end:

    .global ibislock_chart_request
    .global ibislock_chart_request_end
ibislock_chart_request:
    .incbin "request.chart"
ibislock_chart_request_end:

    .section .note.GNU-stack,"",%progbits
